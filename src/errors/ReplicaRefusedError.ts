import type { Step } from '../types/Step.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** A call or command that a replica refused, without any change of its state. */
export class ReplicaRefusedError extends HibiscusrelayError {
  /**
   * @param message - reason of the refusal, from {@link errorTexts}
   * @param step - refused step
   * @param peer - the caller, or the peer that the command names
   */
  constructor (message: string, step: Step, peer: string) {
    super(message, { step, peer })
  }
}
