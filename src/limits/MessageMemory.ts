import type { HeldAmount } from './HeldAmount.js'
import { PieceRate } from './PieceRate.js'

/** Size up to which a message takes memory that large ones leave free, so that these do not keep small ones out. */
const SMALL_MESSAGE_BYTES = 65_536
/** Larger pieces are not counted: their number is bounded by their size. */
const SMALL_PIECE_BYTES = 1_024
/** Small pieces of one message that are handled per second: each takes some microseconds, however small it is. */
const PIECES_PER_SECOND = 4_096
/**
 * Longest wait of one message for those of others, in milliseconds. Up to 680 pieces are read after each wait, so that 300 messages with waits
 * of one second took a whole processor.
 */
const MAXIMUM_SHARED_PAUSE_MILLISECONDS = 10_000

/** What the messages of one kind, such as bodies of requests, may hold together at a host. */
export interface MessagePools {
  /** For the beginning of each message; without it that takes nothing. */
  small?: HeldAmount
  large: HeldAmount
  /** Rate of the small pieces of all messages that exceed the rate of one; unlimited by default. */
  pieces?: PieceRate
}

/** Memory of one message, taken from what all messages of its kind may hold together, and the rate of its pieces. */
export class MessageMemory {
  readonly #pools: MessagePools
  readonly #smallBytes: number
  readonly #pieces = new PieceRate(PIECES_PER_SECOND)
  #heldSmallBytes = 0
  #heldLargeBytes = 0
  #isReleased = false
  #hasRefused = false

  /**
   * @param pools - what all messages of the kind may hold together
   * @param smallBytes - size up to which the message counts as small
   */
  constructor (pools: MessagePools, smallBytes = SMALL_MESSAGE_BYTES) {
    this.#pools = pools
    this.#smallBytes = smallBytes
  }

  /** Whether the message needed more than there is. */
  get hasRefused (): boolean {
    return this.#hasRefused
  }

  /** @returns whether further bytes fit; they are then held until {@link release} */
  tryTake (bytes: number): boolean {
    this.#hasRefused ||= this.#isReleased || !this.#tryTake(bytes)
    return !this.#hasRefused
  }

  /**
   * Records a piece of the message.
   *
   * @param bytes - size of the piece
   * @returns how long to wait before the next one is read, in milliseconds; 0 to read on
   */
  recordPiece (bytes: number): number {
    if (bytes >= SMALL_PIECE_BYTES || this.#pools.pieces === undefined) return 0
    const now = performance.now()
    const aheadMilliseconds = this.#pieces.record(now)
    // Messages of some small pieces, as most are, don't wait for those of many.
    return aheadMilliseconds <= 0 ? 0 : Math.max(aheadMilliseconds, Math.min(MAXIMUM_SHARED_PAUSE_MILLISECONDS, this.#pools.pieces.record(now)))
  }

  /** Releases all bytes, once the message is no longer needed. */
  release (): void {
    this.#isReleased = true
    this.#pools.small?.release(this.#heldSmallBytes)
    this.#pools.large.release(this.#heldLargeBytes)
    this.#heldSmallBytes = 0
    this.#heldLargeBytes = 0
  }

  #tryTake (bytes: number): boolean {
    if (this.#heldLargeBytes === 0 && this.#heldSmallBytes + bytes <= this.#smallBytes) {
      if (this.#pools.small?.tryTake(bytes) === false) return false
      this.#heldSmallBytes += bytes
      return true
    }
    if (!this.#pools.large.tryTake(bytes)) return false
    this.#heldLargeBytes += bytes
    return true
  }
}
