import { Readable } from 'node:stream'
import { PieceBuffer } from '../utils/PieceBuffer.js'

/** Bytes that wait for the receiver before the sender is paused. */
const BUFFER_BYTES = 16_384

/**
 * Body of an answer that is passed on while it arrives. Pieces that arrive while its receiver is busy are joined, so that
 * many small ones cost no more than a few large ones.
 */
export class AnswerStream extends Readable {
  readonly #pieces = new PieceBuffer()
  readonly #onDrained: () => void
  #isWanted = false
  #isScheduled = false
  #isComplete = false

  /** @param onDrained - called when everything that has arrived was handed to the receiver */
  constructor (onDrained: () => void) {
    super({ highWaterMark: 0 })
    this.#onDrained = onDrained
  }

  /**
   * @param piece - the next bytes, which are copied
   * @returns whether there is room for more; the sender should be paused otherwise
   */
  append (piece: Buffer): boolean {
    this.#pieces.append(piece)
    this.#schedule()
    return this.#pieces.length < BUFFER_BYTES
  }

  /** Ends the body behind the bytes that were appended. */
  complete (): void {
    this.#isComplete = true
    this.#schedule()
  }

  override _read (): void {
    this.#isWanted = true
    this.#schedule()
  }

  /** Waits until the parser has handed over all that it read at once. */
  #schedule (): void {
    if (this.#isScheduled || !this.#isWanted) return
    this.#isScheduled = true
    process.nextTick(() => {
      this.#isScheduled = false
      this.#handOver()
    })
  }

  #handOver (): void {
    if (this.destroyed) return
    if (this.#pieces.length > 0) {
      this.#isWanted = false
      this.push(this.#pieces.take())
      this.#onDrained()
    } else if (this.#isComplete) this.push(null)
  }
}
