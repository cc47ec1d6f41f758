import type { Step } from '../types/Step.js'

/** The point of processing at which an error arose. */
export interface ErrorPlace {
  /** Step of processing. */
  step: Step
  /** Peer, upstream or file involved. */
  peer: string
  /** Underlying error, if any. */
  cause?: unknown
}

/** Base class of the error types of this project; carries the step and the peer at which the error arose. */
export class HibiscusrelayError extends Error {
  readonly step: Step
  readonly peer: string

  /**
   * @param message - error message, usually from {@link errorTexts}
   * @param origin - step and peer at which the error arose, and its cause
   */
  constructor (message: string, origin: ErrorPlace) {
    super(message, { cause: origin.cause })
    this.name = new.target.name
    this.step = origin.step
    this.peer = origin.peer
  }
}
