import { Step } from '../types/Step.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** Kind of failure of an HTTP exchange. */
export enum ExchangeFailure {
  /** No connection could be made. */
  Unreachable = 'unreachable',
  /** The connection broke, or the bytes received were not a valid answer. */
  Broken = 'broken',
  /** Only the end of the connection delimits the answer, and it is too large to reach a guest in that form. */
  Undelimited = 'undelimited',
  /** The deadline passed. */
  TimedOut = 'timed-out',
  /** The guest disconnected. */
  Cancelled = 'cancelled',
  /** A check right before the first byte rejected the request. */
  Forbidden = 'forbidden',
  /** No byte left the host: the connection was ready so late that the head no longer told the time left, or had ended; the exchange begins again. */
  Stale = 'stale'
}

/** An HTTP exchange with an upstream or another host that did not yield a complete answer. */
export class ExchangeError extends HibiscusrelayError {
  readonly failure: ExchangeFailure
  /** Whether any byte of the request may have been written. */
  readonly written: boolean
  /**
   * Resolves when the connection of the exchange is free or closed; undefined when it is. An answer that cannot be passed on
   * fails at once, while its connection stays open: closing it would break off what its upstream is at work on.
   */
  readonly finished: Promise<unknown> | undefined

  /**
   * @param failure - how the exchange failed
   * @param peer - address of the upstream or host
   * @param written - whether any byte of the request may have been written
   * @param cause - underlying error
   * @param finished - resolves when the connection of the exchange is free or closed, if it is not yet
   */
  constructor (failure: ExchangeFailure, peer: string, written: boolean, cause?: unknown, finished?: Promise<unknown>) {
    super(`the exchange with ${peer} failed: ${failure}`, { step: Step.Dispatch, peer, cause })
    this.failure = failure
    this.written = written
    this.finished = finished
  }
}
