import { computeBurst, computeRefillRate } from './computeRefillRate.js'
import { SpendWindow } from './SpendWindow.js'

/** Time after a refused spend in which a pause counts as a stall. */
const BUSY_MILLISECONDS = 100
/** Longer than a second, so that spends that take effect with different delays still keep the rate where they are counted. */
export const WINDOW_MILLISECONDS = 1_100

/**
 * Limits spending to a rate. At most the rate is spent within any second, burst included, as long as the rate is
 * at least twice the unit and no single amount exceeds the burst. Otherwise the excess is at most one unit or one such
 * amount; it leaves a negative balance, which is refilled before anything else can be spent.
 *
 * A bucket with a separate burst refills at the full rate instead: any period has at most the burst plus the rate.
 *
 * A bucket that may catch up also keeps what it was refilled with while its process stood still, if a spend was refused
 * before. No window of {@link WINDOW_MILLISECONDS} then has more than the rate of one second.
 */
export class TokenBucket {
  readonly #unit: number
  readonly #catchUpSeconds: number
  readonly #spendWindow: SpendWindow | undefined
  #rate = 0
  /** Burst on top of the rate; undefined when the burst is part of the rate. */
  #separateBurst: number | undefined
  #tokens = 0
  #refilledAt = performance.now()
  #refusedAt = -Infinity
  #caughtUpAt = -Infinity

  /**
   * @param unit - smallest amount of a single spend; lower bound of the burst
   * @param catchUpSeconds - maximum stall whose refill may be spent afterwards
   */
  constructor (unit: number, catchUpSeconds = 0) {
    this.#unit = unit
    this.#catchUpSeconds = catchUpSeconds
    this.#spendWindow = catchUpSeconds === 0 ? undefined : new SpendWindow(WINDOW_MILLISECONDS)
  }

  /** Amount per second. */
  get rate (): number {
    return this.#rate
  }

  /** Maximum number of tokens, reached while nothing is spent. */
  get burst (): number {
    return this.#separateBurst ?? computeBurst(this.#rate, this.#unit)
  }

  /** Number of tokens now; negative after a spend beyond the balance. */
  get balance (): number {
    this.#refill(performance.now())
    return this.#tokens
  }

  /**
   * Changes the rate as of a given time.
   *
   * @param rate - new amount per second
   * @param at - time of the change on the monotonic clock; must not precede earlier changes
   * @param separateBurst - maximum number of tokens on top of the rate, at which the bucket then refills; by default the burst is part of the rate
   */
  setRate (rate: number, at = performance.now(), separateBurst?: number): void {
    this.#refill(at)
    this.#rate = rate
    this.#separateBurst = separateBurst
    this.#tokens = Math.min(this.#tokens, this.burst + rate * this.#catchUpSeconds)
  }

  /**
   * Sets the number of tokens.
   *
   * @param tokens - number of tokens, at most the burst; by default the burst
   */
  fill (tokens = this.burst): void {
    this.#tokens = Math.min(tokens, this.burst)
  }

  /**
   * @param amount - amount to spend
   * @param mayCatchUp - whether tokens beyond the burst may be kept now
   * @returns whether the amount can be spent now
   */
  canSpend (amount: number, mayCatchUp = true): boolean {
    this.#refill(performance.now())
    if (!mayCatchUp) this.#tokens = Math.min(this.#tokens, this.burst)
    const required = Math.min(amount, this.burst)
    const canSpend = this.#rate > 0 && this.#tokens >= required && this.#fitsWindow(required)
    if (!canSpend) this.#refusedAt = performance.now()
    return canSpend
  }

  /** Spends without checking the balance, which may become negative. */
  spend (amount: number): void {
    this.#refill(performance.now())
    this.#tokens -= amount
    this.#spendWindow?.add(amount)
  }

  /** Records that a spend was refused by another limit. */
  recordRefusal (): void {
    this.#refill(performance.now())
    this.#refusedAt = performance.now()
  }

  #fitsWindow (amount: number): boolean {
    return this.#spendWindow === undefined || !this.#isCatchingUp() || this.#spendWindow.sum() + amount <= Math.max(this.#rate, this.#unit)
  }

  /** Otherwise the burst and the refill alone keep the rate. */
  #isCatchingUp (): boolean {
    return performance.now() - this.#caughtUpAt < WINDOW_MILLISECONDS
  }

  /** Unless spends were refused just before, there was nothing to spend on since the last refill. */
  #computeCapacity (): number {
    const wasBusy = this.#refilledAt - this.#refusedAt < BUSY_MILLISECONDS
    return this.burst + (wasBusy ? this.#rate * this.#catchUpSeconds : 0)
  }

  #refill (now: number): void {
    const seconds = Math.max(0, now - this.#refilledAt) / 1000
    const refillRate = this.#separateBurst === undefined ? computeRefillRate(this.#rate, this.#unit) : this.#rate
    this.#tokens = Math.max(this.#tokens, Math.min(this.#computeCapacity(), this.#tokens + seconds * refillRate))
    if (this.#tokens > this.burst) this.#caughtUpAt = now
    this.#refilledAt = Math.max(now, this.#refilledAt)
  }
}
