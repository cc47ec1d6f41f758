import { decodeFrame, readPayloadLength } from './decodeFrame.js'
import { FRAME_HEADER_BYTES, FRAME_MAGIC } from './encodeFrame.js'

/** Smallest unit that a disk writes completely or not at all. */
const SECTOR_BYTES = 512

/** Frames of a file, and the state of the bytes after them. */
export interface FileFrames {
  payloads: Buffer[]
  /** Total length of the intact frames, in bytes. */
  intactBytes: number
  /** Number of bytes after them, left by a write that a crash interrupted unless the file is corrupt. */
  tornBytes: number
  /** Whether the bytes after them cannot come from an interrupted write. */
  isCorrupt: boolean
}

/**
 * Reads all frames of a file. Only the last write to a file can be torn, since each write is made durable before the next.
 * A damaged frame before an intact one is corruption. So is any other damage, unless the last frame is cut short or a sector
 * of it is all zeros, that is, was not written.
 *
 * @param content - bytes of the file
 * @returns its intact frames, and whether the bytes after them are a torn write or corruption
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
