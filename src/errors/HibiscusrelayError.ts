import type { Step } from '../types/Step.js'

/** Where an error arose. */
export interface ErrorPlace {
  /** The step of processing at which the error arose. */
  step: Step
  /** The peer, upstream or file that was being worked with. */
  peer: string
  /** The error underneath, if any. */
  cause?: unknown
}

/**
 * Base of all errors that this project raises on purpose.
 * It carries the step and the peer at which the error arose.
 */
export class HibiscusrelayError extends Error {
  readonly step: Step
  readonly peer: string

  /**
   * @param message - what went wrong, from {@link errorTexts}
   * @param origin - the step and the peer at which it arose
   */
  constructor (message: string, origin: ErrorPlace) {
    super(message, { cause: origin.cause })
    this.name = new.target.name
    this.step = origin.step
    this.peer = origin.peer
  }
}
