import { Step } from '../types/Step.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** A failed call to a peer: no answer in time, a broken connection, or a refusal. */
export class PeerCallError extends HibiscusrelayError {
  /** Whether the peer itself answered with a refusal; if false, the call may or may not have been executed. */
  readonly refused: boolean

  /**
   * @param message - error message, from {@link errorTexts}
   * @param peer - address of the peer
   * @param refused - whether the peer answered with a refusal
   * @param cause - underlying error
   */
  constructor (message: string, peer: string, refused: boolean, cause?: unknown) {
    super(message, { step: Step.PeerCall, peer, cause })
    this.refused = refused
  }
}
