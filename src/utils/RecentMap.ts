/** A map of bounded size that evicts entries that were not set recently. It holds its entries in two generations. */
export class RecentMap<Value> {
  readonly #minimumEntries: number
  #currentGeneration = new Map<string, Value>()
  #previousGeneration = new Map<string, Value>()

  /** @param minimumEntries - minimum number of most recently set keys that are retained; the map never holds more than twice as many */
  constructor (minimumEntries: number) {
    this.#minimumEntries = minimumEntries
  }

  /** @returns the value of the key, undefined when the map does not hold it */
  get (key: string): Value | undefined {
    return this.#currentGeneration.get(key) ?? this.#previousGeneration.get(key)
  }

  /** Sets the value of a key and marks the key as recent. */
  set (key: string, value: Value): void {
    this.#currentGeneration.set(key, value)
    if (this.#currentGeneration.size < this.#minimumEntries) return
    this.#previousGeneration = this.#currentGeneration
    this.#currentGeneration = new Map()
  }

  /** Removes a key from both generations. */
  delete (key: string): void {
    this.#currentGeneration.delete(key)
    this.#previousGeneration.delete(key)
  }
}
