import { decodeFrame, readPayloadLength } from './decodeFrame.js'
import { FRAME_HEADER_BYTES, FRAME_MAGIC } from './encodeFrame.js'

/** Smallest unit that a disk writes whole. */
const SECTOR_BYTES = 512

/** The frames of one file. */
export interface FileFrames {
  payloads: Buffer[]
  /** Length of the intact frames together, in bytes. */
  intactBytes: number
  /** Bytes after them, from a write that a crash interrupted. */
  tornBytes: number
  /** Whether the bytes after them cannot come from an interrupted write. */
  isCorrupt: boolean
}

/**
 * Reads frame after frame. Only the last write to a file can be torn, since each is made durable before the next;
 * a damaged frame before an intact one, or one with all its bytes present, is corruption.
 *
 * @param content - bytes of the file
 * @returns its frames, and what follows them
 */
export function readFrames (content: Buffer): FileFrames {
  const payloads: Buffer[] = []
  let offset = 0
  for (let frame = decodeFrame(content, 0); frame !== undefined; frame = decodeFrame(content, offset)) {
    payloads.push(frame.payload)
    offset = frame.endOffset
  }
  const tornBytes = content.length - offset
  const isCorrupt = tornBytes > 0 && (hasFrameAfter(content, offset) || !isTorn(content, offset))
  return { payloads, intactBytes: offset, tornBytes, isCorrupt }
}

function hasFrameAfter (content: Buffer, offset: number): boolean {
  let candidateOffset = content.indexOf(FRAME_MAGIC, offset + 1)
  while (candidateOffset !== -1) {
    if (decodeFrame(content, candidateOffset) !== undefined) return true
    candidateOffset = content.indexOf(FRAME_MAGIC, candidateOffset + 1)
  }
  return false
}

function isTorn (content: Buffer, offset: number): boolean {
  if (content.length - offset < FRAME_HEADER_BYTES) return true
  const length = readPayloadLength(content, offset)
  if (length !== undefined && offset + FRAME_HEADER_BYTES + length > content.length) return true
  return hasUnwrittenSector(content, offset)
}

function hasUnwrittenSector (content: Buffer, offset: number): boolean {
  for (let start = offset; start < content.length;) {
    const end = Math.min(content.length, (Math.floor(start / SECTOR_BYTES) + 1) * SECTOR_BYTES)
    if (content.subarray(start, end).every((byte) => byte === 0)) return true
    start = end
  }
  return false
}
