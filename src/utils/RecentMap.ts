/** A map of bounded size that forgets entries which were not set for long; it holds them in two generations. */
export class RecentMap<Value> {
  readonly #minimumEntries: number
  #currentGeneration = new Map<string, Value>()
  #previousGeneration = new Map<string, Value>()

  /** @param minimumEntries - how many entries are kept at least; at most it holds twice as many */
  constructor (minimumEntries: number) {
    this.#minimumEntries = minimumEntries
  }

  /** @returns the value of a key, undefined when there is none */
  get (key: string): Value | undefined {
    return this.#currentGeneration.get(key) ?? this.#previousGeneration.get(key)
  }

  /** Sets the value of a key, which counts as recent from now on. */
  set (key: string, value: Value): void {
    this.#currentGeneration.set(key, value)
    if (this.#currentGeneration.size < this.#minimumEntries) return
    this.#previousGeneration = this.#currentGeneration
    this.#currentGeneration = new Map()
  }

  /** Forgets a key. */
  delete (key: string): void {
    this.#currentGeneration.delete(key)
    this.#previousGeneration.delete(key)
  }
}
