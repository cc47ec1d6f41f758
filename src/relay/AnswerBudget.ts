import { HeldAmount } from '../limits/HeldAmount.js'

/**
 * Bounds the memory that the answers of all upstreams take at one host. A faulty upstream may write without end, and each
 * answer that its receiver does not read holds the buffers of two connections.
 */
export class AnswerBudget {
  /** Bytes of answers that are read completely before they are passed on. */
  readonly bytes: HeldAmount
  /** Answers that are passed on while they arrive. */
  readonly streams: HeldAmount

  /**
   * @param maximumBytes - maximum number of bytes of answers that are read completely before they are passed on
   * @param maximumStreams - maximum number of answers that are passed on while they arrive
   */
  constructor (maximumBytes: number, maximumStreams: number) {
    this.bytes = new HeldAmount(maximumBytes)
    this.streams = new HeldAmount(maximumStreams)
  }
}
