import { PieceRate } from './PieceRate.js'

/** Bytes of one message that are discarded per second: the largest body takes some seconds. */
const BYTES_PER_SECOND = 16 * 1_048_576
/** Bytes of all messages together that are discarded per second: a small part of what fills a processor. */
const TOTAL_BYTES_PER_SECOND = 128 * 1_048_576
/** Bytes of one message that are discarded: the largest body that a plan may allow, and half of it for the framing of its chunks. */
const MAXIMUM_BYTES = 96 * 1_048_576
/** Longest wait of one message for those of others, in milliseconds. */
const MAXIMUM_SHARED_PAUSE_MILLISECONDS = 500

/** Bounds what is read of a message only to be discarded, such as the rest of a body whose request is refused: in pace and in sum. */
export class DiscardedBytes {
  readonly #all: PieceRate
  readonly #rate = new PieceRate(BYTES_PER_SECOND)
  #bytes = 0

  /** @param all - rate of all messages, made by {@link DiscardedBytes.createSharedRate} */
  constructor (all: PieceRate) {
    this.#all = all
  }

  /** @returns the rate that several messages share */
  static createSharedRate (): PieceRate {
    return new PieceRate(TOTAL_BYTES_PER_SECOND)
  }

  /** Whether the message was longer than any that is worth reading to its end. */
  get isExhausted (): boolean {
    return this.#bytes > MAXIMUM_BYTES
  }

  /**
   * Records discarded bytes.
   *
   * @param bytes - their number
   * @returns how long to wait before more are read, in milliseconds; 0 to read on
   */
  record (bytes: number): number {
    const now = performance.now()
    this.#bytes += bytes
    const sharedMilliseconds = this.#all.record(now, bytes)
    const aheadMilliseconds = this.#rate.record(now, bytes)
    // The rest of most messages is short, and does not wait for that of long ones.
    return aheadMilliseconds <= 0 ? 0 : Math.max(aheadMilliseconds, Math.min(MAXIMUM_SHARED_PAUSE_MILLISECONDS, sharedMilliseconds))
  }
}
