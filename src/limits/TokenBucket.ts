const BURST_SECONDS = 0.1
const MINIMUM_REFILL_FRACTION = 0.5

/**
 * Bounds spending to a rate. In any second at most the rate is spent, burst included, as long as the rate is
 * at least twice the unit and no single amount is larger than the burst. Beyond that the excess is at most one unit,
 * or one such amount, which leaves a debt that later spending waits out.
 */
export class TokenBucket {
  readonly #unit: number
  #rate = 0
  #tokens = 0
  #refilledAt = performance.now()

  /** @param unit - smallest amount that is spent at once */
  constructor (unit: number) {
    this.#unit = unit
  }

  /** @returns the amount per second */
  get rate (): number {
    return this.#rate
  }

  /** @returns most tokens that gather while nothing is spent */
  get burst (): number {
    return this.#rate === 0 ? 0 : Math.max(this.#rate * BURST_SECONDS, this.#unit)
  }

  /**
   * Changes the rate from a moment on.
   *
   * @param rate - amount per second
   * @param at - when the change took place, on the monotonic clock; not before earlier changes
   */
  setRate (rate: number, at = performance.now()): void {
    this.#refill(at)
    this.#rate = rate
    this.#tokens = Math.min(this.#tokens, this.burst)
  }

  /** Fills the bucket, as when nothing was spent for long. */
  fill (): void {
    this.#tokens = this.burst
  }

  canSpend (amount: number): boolean {
    this.#refill(performance.now())
    return this.#rate > 0 && this.#tokens >= Math.min(amount, this.burst)
  }

  /** Spends without asking. */
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
