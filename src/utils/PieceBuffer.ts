/** Size of the first block, in bytes: most messages fit into it. */
const MINIMUM_BLOCK_BYTES = 512
const MAXIMUM_BLOCK_BYTES = 65_536

/**
 * Collects a message that arrives in pieces, in blocks that take at most about twice its size. A piece itself may take
 * hundreds of times its size: it is an object of its own, and keeps the whole read in which it arrived.
 */
export class PieceBuffer {
  readonly #blocks: Buffer[] = []
  #free = 0
  #length = 0

  /** Number of bytes collected. */
  get length (): number {
    return this.#length
  }

  /**
   * @param bytes - size of the next piece
   * @returns memory that the piece would take in addition, in bytes
   */
  measureGrowth (bytes: number): number {
    if (bytes <= this.#free) return 0
    return Math.max(bytes - this.#free, Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this.#length)))
  }

  /** @param piece - the next bytes, which are copied */
  append (piece: Buffer): void {
    const blockBytes = this.measureGrowth(piece.length)
    const copiedBytes = this.#fill(piece)
    this.#length += piece.length
    if (blockBytes === 0) return
    this.#blocks.push(Buffer.allocUnsafe(blockBytes))
    this.#free = blockBytes
    this.#fill(piece.subarray(copiedBytes))
  }

  /** @returns all bytes collected; the buffer is empty afterwards */
  take (): Buffer {
    const bytes = this.#blocks.length === 1 ? this.#blocks[0]!.subarray(0, this.#length) : Buffer.concat(this.#blocks, this.#length)
    this.clear()
    return bytes
  }

  /** Discards all bytes. */
  clear (): void {
    this.#blocks.length = 0
    this.#free = 0
    this.#length = 0
  }

  /** @returns number of bytes of a piece that fitted into the last block */
  #fill (piece: Buffer): number {
    const block = this.#blocks.at(-1)
    if (block === undefined || this.#free === 0) return 0
    const copiedBytes = piece.copy(block, block.length - this.#free)
    this.#free -= copiedBytes
    return copiedBytes
  }
}
