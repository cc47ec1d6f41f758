/** How much earlier than at the rate pieces may come, in milliseconds. */
const BURST_MILLISECONDS = 250
const MILLISECONDS_PER_SECOND = 1_000

/** Limits how many pieces of messages, or how many of their bytes, are handled per second. */
export class PieceRate {
  readonly #millisecondsPerPiece: number
  /** When the next piece is due at the rate, on the clock of `performance.now()`. */
  #dueAt = Number.NEGATIVE_INFINITY

  /** @param piecesPerSecond - number of pieces, or of bytes, per second */
  constructor (piecesPerSecond: number) {
    this.#millisecondsPerPiece = MILLISECONDS_PER_SECOND / piecesPerSecond
  }

  /**
   * Records pieces, or bytes.
   *
   * @param now - current time on the clock of `performance.now()`
   * @param count - how many; one by default
   * @returns how much earlier than at the rate they came, in milliseconds; 0 or less while there is no reason to wait
   */
  record (now: number, count = 1): number {
    this.#dueAt = Math.max(this.#dueAt, now - BURST_MILLISECONDS) + count * this.#millisecondsPerPiece
    return this.#dueAt - now
  }
}
