/** Mean of a series in which later values count more. */
export class ExponentialMean {
  readonly #weight: number
  #mean: number
  #isEmpty = true

  /**
   * @param initial - mean before the first value
   * @param weight - how much each new value counts, from 0 to 1
   */
  constructor (initial: number, weight: number) {
    this.#mean = initial
    this.#weight = weight
  }

  get mean (): number {
    return this.#mean
  }

  /** Takes in a value; the first replaces the initial mean. */
  add (value: number): void {
    this.#mean += (value - this.#mean) * (this.#isEmpty ? 1 : this.#weight)
    this.#isEmpty = false
  }
}
