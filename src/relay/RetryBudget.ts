const DECAY_MILLISECONDS = 10_000
const BURST_RETRIES = 10

/** Bounds retries to a fraction of the recent requests of one service. */
export class RetryBudget {
  readonly #retryRatio: number
  #tokens = BURST_RETRIES
  #lastDecayAt = performance.now()

  /** @param percent - most retries per hundred requests */
  constructor (percent: number) {
    this.#retryRatio = percent / 100
  }

  /** Notes a first try of a request. */
  recordRequest (): void {
    this.#decay()
    this.#tokens += this.#retryRatio
  }

  /** @returns whether one more retry is within the budget; if so, it is spent */
  trySpend (): boolean {
    this.#decay()
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /** Tokens above the burst fade, so that a quiet hour does not pay for a storm. */
  #decay (): void {
    const now = performance.now()
    const elapsedMilliseconds = now - this.#lastDecayAt
    this.#lastDecayAt = now
    const excess = this.#tokens - BURST_RETRIES
    if (excess > 0) this.#tokens = BURST_RETRIES + excess * Math.exp(-elapsedMilliseconds / DECAY_MILLISECONDS)
  }
}
