import { Step } from '../types/Step.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** A file of a replica is missing, corrupt, or cannot be read or written; the replica must not take part in its group until it has been opened again. */
export class ReplicaStorageError extends HibiscusrelayError {
  /**
   * @param message - error message, from {@link errorTexts}
   * @param file - path or name of the file
   * @param cause - underlying error
   */
  constructor (message: string, file: string, cause?: unknown) {
    super(message, { step: Step.Storage, peer: file, cause })
  }

  /** Whether an operation failed, which may succeed later, rather than the content of the file being unusable. */
  get isTransient (): boolean {
    return this.cause !== undefined
  }
}
