import type { LeaseTimings } from './LeaseTimings.js'
import type { PromiseAnswer, PromiseRequest } from './LeaseMessages.js'

/**
 * A voter's promise to support one candidate of a scope. For the duration of a promise after its start a voter promises nothing,
 * as a promise of its previous run may still be valid.
 */
export class VoterPromise {
  readonly #timings: LeaseTimings
  readonly #startedAt = performance.now()
  #candidate = ''
  #candidacy = ''
  #endsAt = -Infinity

  constructor (timings: LeaseTimings) {
    this.#timings = timings
  }

  /** Name of the candidate to which support is promised; empty when no promise is valid. */
  get holder (): string {
    return performance.now() < this.#endsAt ? this.#candidate : ''
  }

  handle (request: PromiseRequest): PromiseAnswer {
    const now = performance.now()
    if (now - this.#startedAt < this.#timings.promiseMilliseconds) return { promised: false }
    if (this.holder !== '' && this.holder !== request.candidate) return { promised: false }
    this.#candidate = request.candidate
    this.#candidacy = request.candidacy
    this.#endsAt = now + this.#timings.promiseMilliseconds
    return { promised: true }
  }

  /** Ends the promise if it was made to this candidacy, which has ended. */
  release (candidacy: string): void {
    if (candidacy === this.#candidacy) this.#endsAt = -Infinity
  }
}
