const DEFAULT_WINDOW_MILLISECONDS = 400

/** Measures how much was asked for per second lately, refused amounts included. */
export class DemandMeter {
  readonly #windowMilliseconds: number
  #currentAmount = 0
  #previousAmount = 0
  #windowStartedAt = performance.now()

  /** @param windowMilliseconds - time over which amounts are added up */
  constructor (windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS) {
    this.#windowMilliseconds = windowMilliseconds
  }

  add (amount: number): void {
    this.#rollWindow(performance.now())
    this.#currentAmount += amount
  }

  /** @returns the amount per second, over the last window and the one that runs */
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
