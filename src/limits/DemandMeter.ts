const DEFAULT_WINDOW_MILLISECONDS = 400

/** Measures how much was asked for per second lately, refused amounts included. */
export class DemandMeter {
  readonly #windowMilliseconds: number
  #current = 0
  #previous = 0
  #startedAt = performance.now()

  /** @param windowMilliseconds - time over which amounts are added up */
  constructor (windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS) {
    this.#windowMilliseconds = windowMilliseconds
  }

  add (amount: number): void {
    this.#roll(performance.now())
    this.#current += amount
  }

  /** @returns the amount per second, over the last window and the one that runs */
  read (): number {
    const now = performance.now()
    this.#roll(now)
    const passed = (now - this.#startedAt) / this.#windowMilliseconds
    return Math.max(this.#current, this.#previous * (1 - passed) + this.#current) * 1000 / this.#windowMilliseconds
  }

  #roll (now: number): void {
    const passed = now - this.#startedAt
    if (passed < this.#windowMilliseconds) return
    const following = passed < 2 * this.#windowMilliseconds
    this.#previous = following ? this.#current : 0
    this.#current = 0
    this.#startedAt = following ? this.#startedAt + this.#windowMilliseconds : now
  }
}
