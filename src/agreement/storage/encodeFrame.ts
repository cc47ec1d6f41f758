import { crc32 } from 'node:zlib'

/** First bytes of every frame. */
export const FRAME_MAGIC = Buffer.from('HRF1', 'latin1')
/** Length of the header: magic, payload length, CRC-32 of the payload, CRC-32 of these three, 4 bytes each. */
export const FRAME_HEADER_BYTES = 16

/**
 * @param payload - content of the frame
 * @returns a header with length and checksums, followed by the payload
 */
export function encodeFrame (payload: Buffer): Buffer {
  const header = Buffer.alloc(FRAME_HEADER_BYTES)
  FRAME_MAGIC.copy(header)
  header.writeUInt32LE(payload.length, 4)
  header.writeUInt32LE(crc32(payload), 8)
  header.writeUInt32LE(crc32(header.subarray(0, 12)), 12)
  return Buffer.concat([header, payload])
}
