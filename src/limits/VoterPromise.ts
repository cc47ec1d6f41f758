import type { LeaseTimings } from './LeaseTimings.js'
import type { PromiseAnswer, PromiseRequest } from './LeaseMessages.js'

/** A voter's promise to support one holder of a scope. Right after a start it promises nothing, as an earlier run may have. */
export class VoterPromise {
  readonly #timings: LeaseTimings
  readonly #startedAt = performance.now()
  #candidate = ''
  #candidacy = ''
  #endsAt = -Infinity

  constructor (timings: LeaseTimings) {
    this.#timings = timings
  }

  /** @returns name of the host that was promised support, empty when no promise runs */
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

  /** Ends the promise to a candidacy that gave up. */
  release (candidacy: string): void {
    if (candidacy === this.#candidacy) this.#endsAt = -Infinity
  }
}
