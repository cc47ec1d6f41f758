const BURST_SECONDS = 0.1
const MINIMUM_REFILL_FRACTION = 0.5

/**
 * Limits spending to a rate. At most the rate is spent within any second, burst included, as long as the rate is
 * at least twice the unit and no single amount exceeds the burst. Otherwise the excess is at most one unit or one such
 * amount; it leaves a negative balance, which is refilled before anything else can be spent.
 */
export class TokenBucket {
  readonly #unit: number
  #rate = 0
  #tokens = 0
  #refilledAt = performance.now()

  /** @param unit - smallest amount of a single spend; lower bound of the burst */
  constructor (unit: number) {
    this.#unit = unit
  }

  /** Amount per second. */
  get rate (): number {
    return this.#rate
  }

  /** Maximum number of tokens, reached while nothing is spent. */
  get burst (): number {
    return this.#rate === 0 ? 0 : Math.max(this.#rate * BURST_SECONDS, this.#unit)
  }

  /**
   * Changes the rate as of a given time.
   *
   * @param rate - new amount per second
   * @param at - time of the change on the monotonic clock; must not precede earlier changes
   */
  setRate (rate: number, at = performance.now()): void {
    this.#refill(at)
    this.#rate = rate
    this.#tokens = Math.min(this.#tokens, this.burst)
  }

  /** Fills the bucket up to the burst. */
  fill (): void {
    this.#tokens = this.burst
  }

  canSpend (amount: number): boolean {
    this.#refill(performance.now())
    return this.#rate > 0 && this.#tokens >= Math.min(amount, this.burst)
  }

  /** Spends without checking the balance, which may become negative. */
  spend (amount: number): void {
    this.#refill(performance.now())
    this.#tokens -= amount
  }

  #refill (now: number): void {
    const seconds = Math.max(0, now - this.#refilledAt) / 1000
    const refillRate = Math.max(this.#rate - this.burst, this.#rate * MINIMUM_REFILL_FRACTION)
    this.#tokens = Math.min(this.burst, this.#tokens + seconds * refillRate)
    this.#refilledAt = Math.max(now, this.#refilledAt)
  }
}
