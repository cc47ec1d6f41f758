import { HeldAmount } from '../limits/HeldAmount.js'
import { MessageMemory, type MessagePools } from '../limits/MessageMemory.js'

/** Memory that an answer takes while it is passed on: its buffer, and the buffers of two connections, in bytes. */
const STREAM_BYTES = 524_288

/**
 * Bounds the memory that the answers of all upstreams take at one host. A faulty upstream may write without end, and each
 * answer that its receiver does not read holds the buffers of two connections.
 */
export class AnswerBudget {
  readonly #pools: MessagePools
  readonly #streams: HeldAmount
  readonly #streamBytes: HeldAmount

  /**
   * @param maximumBytes - maximum number of bytes of answers that are read completely before they are passed on
   * @param maximumStreams - maximum number of answers that are passed on while they arrive
   * @param shared - larger bounds that both are a part of; by default there are none
   */
  constructor (maximumBytes: number, maximumStreams: number, shared?: MessagePools) {
    this.#pools = { ...shared, large: new HeldAmount(maximumBytes, shared?.large) }
    this.#streams = new HeldAmount(maximumStreams)
    this.#streamBytes = new HeldAmount(maximumStreams * STREAM_BYTES, shared?.large)
  }

  /** @returns the memory of one answer that is read completely before it is passed on */
  open (): MessageMemory {
    return this.#pools.small === undefined ? new MessageMemory(this.#pools, 0) : new MessageMemory(this.#pools)
  }

  /** @returns whether a further answer may be passed on while it arrives; it counts until {@link endStream} */
  tryBeginStream (): boolean {
    if (!this.#streams.tryTake(1)) return false
    if (this.#streamBytes.tryTake(STREAM_BYTES)) return true
    this.#streams.release(1)
    return false
  }

  /** Records that an answer is no longer passed on. */
  endStream (): void {
    this.#streams.release(1)
    this.#streamBytes.release(STREAM_BYTES)
  }
}
