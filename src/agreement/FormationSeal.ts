import { getElapsedMilliseconds, readClocks, type ClockReading } from '../utils/ClockReading.js'

/** How long a sealed replica takes no part in its group. A replica that restarts meanwhile takes none for the shortest election timeout, 600 ms. */
const SEAL_MILLISECONDS = 2_000
/** A replica leaves its group only so soon after it was sealed that all others, sealed up to 250 ms before it, are still sealed, restarted or not. */
const LEAVE_MILLISECONDS = 250

/**
 * Keeps a replica of a group that has accepted nothing from taking part in it, so that the group can be given up: while its
 * replicas are sealed, none of them votes, follows or leads, so nothing can be accepted before they have left.
 */
export class FormationSeal {
  #sealedAt: ClockReading | undefined
  #attempt: string | undefined
  #hasLeft = false

  /** Whether the replica takes no part in its group; a suspension of the machine prolongs it. */
  get isSealed (): boolean {
    return this.#hasLeft || (this.#sealedAt !== undefined && performance.now() - this.#sealedAt.monotonic < SEAL_MILLISECONDS)
  }

  /**
   * Starts the seal, or prolongs it.
   *
   * @param attempt - identifier of the attempt to give up the group
   */
  seal (attempt: string): void {
    this.#sealedAt = readClocks()
    this.#attempt = attempt
  }

  /**
   * @param attempt - the attempt for which the replica was sealed last; an earlier one may have failed
   * @returns whether the replica has left its group for good; false when it was not sealed just now
   */
  leave (attempt: string): boolean {
    this.#hasLeft ||= this.#sealedAt !== undefined && attempt === this.#attempt && getElapsedMilliseconds(this.#sealedAt) <= LEAVE_MILLISECONDS
    return this.#hasLeft
  }
}
