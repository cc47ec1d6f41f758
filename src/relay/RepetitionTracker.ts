import { crc32 } from 'node:zlib'

/** Length and checksum of bytes that were passed on. */
interface Segment {
  bytes: number
  checksum: number
}

const EMPTY_SEGMENT: Segment = { bytes: 0, checksum: 0 }

/** Tells whether the segments of a body that is passed on while it arrives are all alike. */
export class RepetitionTracker {
  #first: Segment | undefined
  #current = EMPTY_SEGMENT
  #areAlike = true

  /** Whether there are several segments, not empty, and each repeats the first. */
  get isRepetition (): boolean {
    return this.#first !== undefined && this.#first.bytes > 0 && this.#areAlike && isAlike(this.#first, this.#current)
  }

  /** @param bytes - next bytes of the segment */
  add (bytes: Buffer): void {
    this.#current = { bytes: this.#current.bytes + bytes.length, checksum: crc32(bytes, this.#current.checksum) }
  }

  /** Ends the segment; another one begins. */
  split (): void {
    if (this.#first === undefined) this.#first = this.#current
    else if (!isAlike(this.#first, this.#current)) this.#areAlike = false
    this.#current = EMPTY_SEGMENT
  }
}

function isAlike (left: Segment, right: Segment): boolean {
  return left.bytes === right.bytes && left.checksum === right.checksum
}
