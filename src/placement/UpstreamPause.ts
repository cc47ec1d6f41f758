/** Time after the return of an upstream in which a host limits the requests that it has there. */
const RETURN_MILLISECONDS = 5_000

/**
 * A time for which an upstream asked for no requests, and its return into use.
 *
 * Load pattern: an overloaded upstream refuses several hosts in the same second, with the same pause. If all of them came
 * back at its end with all their requests, it would be overloaded again at once. So each host returns at a time of its own,
 * with one request in flight, and with one more after each answer.
 */
export class UpstreamPause {
  /** Time of birth of the upstream that asked for it: a later start under the same identifier did not. */
  readonly bornAt: number
  /** Monotonic time at which this host may send again, in milliseconds. */
  readonly returnsAt: number
  #maximumInFlight = 1

  /**
   * @param bornAt - time of birth of the upstream in Unix milliseconds
   * @param returnsAt - monotonic time at which this host may send again, in milliseconds
   */
  constructor (bornAt: number, returnsAt: number) {
    this.bornAt = bornAt
    this.returnsAt = returnsAt
  }

  /** Records that the upstream ran a request of this host. */
  recordSuccess (now: number): void {
    if (now >= this.returnsAt) this.#maximumInFlight += 1
  }

  /**
   * @param inFlight - requests of this host at the upstream
   * @param now - current time on the clock of `performance.now()`
   * @returns whether this host may send a further request
   */
  admits (inFlight: number, now: number): boolean {
    if (now < this.returnsAt) return false
    return inFlight < this.#maximumInFlight || this.isOver(now)
  }

  /** @returns whether the pause and the return are over */
  isOver (now: number): boolean {
    return now >= this.returnsAt + RETURN_MILLISECONDS
  }
}
