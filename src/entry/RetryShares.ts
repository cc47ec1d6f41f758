import { RetryShare, type RetryBound } from '../placement/RetryShare.js'

/** This host's shares of the retries, by service. */
export class RetryShares {
  readonly #bound: () => RetryBound
  readonly #sharesByService = new Map<string, RetryShare>()

  /** @param bound - returns the limit for all hosts together */
  constructor (bound: () => RetryBound) {
    this.#bound = bound
  }

  /** @returns the share of a service */
  get (service: string): RetryShare {
    let share = this.#sharesByService.get(service)
    if (share === undefined) {
      share = new RetryShare(this.#bound())
      this.#sharesByService.set(service, share)
    }
    return share
  }
}
