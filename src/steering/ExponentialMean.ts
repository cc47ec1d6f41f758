/** Exponentially weighted mean of a series: later values count more. */
export class ExponentialMean {
  readonly #weight: number
  #mean: number
  #isEmpty = true

  /**
   * @param initial - mean before the first value
   * @param weight - weight of each new value, from 0 to 1
   */
  constructor (initial: number, weight: number) {
    this.#mean = initial
    this.#weight = weight
  }

  get mean (): number {
    return this.#mean
  }

  /** Adds a value; the first one replaces the initial mean. */
  add (value: number): void {
    this.#mean += (value - this.#mean) * (this.#isEmpty ? 1 : this.#weight)
    this.#isEmpty = false
  }
}
