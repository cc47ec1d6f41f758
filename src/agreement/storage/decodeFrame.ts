import { crc32 } from 'node:zlib'
import { FRAME_HEADER_BYTES, FRAME_MAGIC } from './encodeFrame.js'

/** A frame of a file. */
export interface Frame {
  payload: Buffer
  /** Offset of the first byte after the frame. */
  endOffset: number
}

/**
 * @param content - bytes of a file
 * @param offset - offset at which a header may start
 * @returns payload length in the header there, undefined without an intact header
 */
export function readPayloadLength (content: Buffer, offset: number): number | undefined {
  if (offset + FRAME_HEADER_BYTES > content.length) return undefined
  const header = content.subarray(offset, offset + FRAME_HEADER_BYTES)
  if (!header.subarray(0, FRAME_MAGIC.length).equals(FRAME_MAGIC)) return undefined
  if (crc32(header.subarray(0, 12)) !== header.readUInt32LE(12)) return undefined
  return header.readUInt32LE(4)
}

/**
 * @param content - bytes of a file
 * @param offset - offset at which the frame starts
 * @returns the frame, undefined without an intact frame there
 */
export function decodeFrame (content: Buffer, offset: number): Frame | undefined {
  const length = readPayloadLength(content, offset)
  if (length === undefined) return undefined
  const start = offset + FRAME_HEADER_BYTES
  const payload = content.subarray(start, start + length)
  if (payload.length !== length) return undefined
  if (crc32(payload) !== content.readUInt32LE(offset + 8)) return undefined
  return { payload, endOffset: start + length }
}
