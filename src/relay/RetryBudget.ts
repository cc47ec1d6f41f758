const DECAY_MILLISECONDS = 10_000
const BURST_RETRIES = 10

/** Limits retries to a fraction of the recent requests of one service. */
export class RetryBudget {
  readonly #retryRatio: number
  #tokens = BURST_RETRIES
  #lastDecayAt = performance.now()

  /** @param percent - maximum number of retries per hundred requests */
  constructor (percent: number) {
    this.#retryRatio = percent / 100
  }

  /** Counts the first attempt of a request. */
  recordRequest (): void {
    this.#decay()
    this.#tokens += this.#retryRatio
  }

  /**
   * Takes one retry from the budget.
   *
   * @returns false when the budget is used up
   */
  trySpend (): boolean {
    this.#decay()
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /** Tokens above the burst decay, so that a long quiet period does not allow a flood of retries. */
  #decay (): void {
    const now = performance.now()
    const elapsedMilliseconds = now - this.#lastDecayAt
    this.#lastDecayAt = now
    const excess = this.#tokens - BURST_RETRIES
    if (excess > 0) this.#tokens = BURST_RETRIES + excess * Math.exp(-elapsedMilliseconds / DECAY_MILLISECONDS)
  }
}
