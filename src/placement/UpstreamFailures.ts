import { ExchangeFailure } from '../errors/ExchangeError.js'

const INITIAL_AVOIDANCE_MILLISECONDS = 250
const MAXIMUM_AVOIDANCE_MILLISECONDS = 4_000

/**
 * Failures of one upstream, as far as one host knows them.
 *
 * Load pattern: answers that never end keep their requests until the deadline. A host has sent their upstream many more
 * before the first of them fails, and would again each time that it no longer avoids it. So an upstream that failed is
 * avoided for a time, and then gets one request at a time until it has answered one whole; a refusal does not count,
 * because the endless answers themselves fill its slots. A guest that reads slowly lets the answer of a sound upstream
 * pass its deadline as well: such a failure is forgotten with the next whole answer, and several at once count as one.
 */
export class UpstreamFailures {
  #consecutiveCount = 0
  #isOnProbation = false
  #avoidedUntil = Number.NEGATIVE_INFINITY
  /** As above, for failures that may be due to a request or its guest. */
  #doubtedUntil = Number.NEGATIVE_INFINITY

  /** Whether the last request to it failed. */
  get hasFailed (): boolean {
    return this.#consecutiveCount > 0
  }

  /** Records a failure: the upstream is avoided for a time that doubles with each failure in a row, up to a maximum. */
  recordFailure (now: number): void {
    this.#avoidedUntil = now + this.#count()
  }

  /** Records an answer that did not end in time, or that cannot be passed on. */
  recordUnfinished (now: number): void {
    if (now < this.#doubtedUntil) return
    this.#doubtedUntil = now + this.#count()
  }

  /** Records a whole answer to a request that the upstream ran. */
  recordSuccess (): void {
    this.#consecutiveCount = 0
    this.#isOnProbation = false
    this.#doubtedUntil = Number.NEGATIVE_INFINITY
  }

  /** Records that it refused a request without running it. */
  recordRefusal (): void {
    this.#consecutiveCount = 0
  }

  /**
   * Records how the answer to a request ended that was sent.
   *
   * @param failure - undefined when it is whole
   * @param now - current time on the clock of `performance.now()`
   */
  recordEnd (failure: ExchangeFailure | undefined, now: number): void {
    if (failure === undefined) this.recordSuccess()
    else if (failure === ExchangeFailure.Broken) this.recordFailure(now)
    else if (failure === ExchangeFailure.TimedOut || failure === ExchangeFailure.Undelimited) this.recordUnfinished(now)
  }

  /** @returns whether it failed so recently that other upstreams are preferred */
  isAvoided (now: number): boolean {
    return now < this.#avoidedUntil || now < this.#doubtedUntil
  }

  /**
   * @param inFlight - requests of this host at the upstream
   * @param now - current time on the clock of `performance.now()`
   * @returns whether it takes a further request of this host while other upstreams are usable
   */
  admits (inFlight: number, now: number): boolean {
    return !this.isAvoided(now) && (inFlight === 0 || !this.#isOnProbation)
  }

  /** @returns for how long the upstream is avoided, in milliseconds */
  #count (): number {
    const avoidanceMilliseconds = Math.min(MAXIMUM_AVOIDANCE_MILLISECONDS, INITIAL_AVOIDANCE_MILLISECONDS * 2 ** this.#consecutiveCount)
    this.#consecutiveCount += 1
    this.#isOnProbation = true
    return avoidanceMilliseconds
  }
}
