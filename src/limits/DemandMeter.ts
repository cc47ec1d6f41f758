const DEFAULT_WINDOW_MILLISECONDS = 400

/** Measures the recent demand per second, including refused amounts. */
export class DemandMeter {
  readonly #windowMilliseconds: number
  #currentAmount = 0
  #previousAmount = 0
  #windowStartedAt = performance.now()

  /** @param windowMilliseconds - length of the window over which amounts are summed */
  constructor (windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS) {
    this.#windowMilliseconds = windowMilliseconds
  }

  add (amount: number): void {
    this.#rollWindow(performance.now())
    this.#currentAmount += amount
  }

  /** @returns the amount per second, estimated from the current window and the previous one, which is weighted by its remaining overlap */
  readPerSecond (): number {
    const now = performance.now()
    this.#rollWindow(now)
    const elapsedFraction = (now - this.#windowStartedAt) / this.#windowMilliseconds
    return Math.max(this.#currentAmount, this.#previousAmount * (1 - elapsedFraction) + this.#currentAmount) * 1000 / this.#windowMilliseconds
  }

  #rollWindow (now: number): void {
    const elapsedMilliseconds = now - this.#windowStartedAt
    if (elapsedMilliseconds < this.#windowMilliseconds) return
    const isNextWindow = elapsedMilliseconds < 2 * this.#windowMilliseconds
    this.#previousAmount = isNextWindow ? this.#currentAmount : 0
    this.#currentAmount = 0
    this.#windowStartedAt = isNextWindow ? this.#windowStartedAt + this.#windowMilliseconds : now
  }
}
