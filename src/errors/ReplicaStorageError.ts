import { Step } from '../types/Step.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** A file of a replica is missing, corrupt or cannot be written; the replica must no longer take part in its group. */
export class ReplicaStorageError extends HibiscusrelayError {
  /**
   * @param message - error message, from {@link errorTexts}
   * @param file - path or name of the file
   * @param cause - underlying error
   */
  constructor (message: string, file: string, cause?: unknown) {
    super(message, { step: Step.Storage, peer: file, cause })
  }
}
