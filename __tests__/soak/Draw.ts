import { seededRandom } from '../agreement/support/SheetCluster.js'

/** Random choices, the same for the same seed and purpose. */
export class Draw {
  readonly #random: () => number

  /**
   * @param seed - seed of the run
   * @param purpose - number of the part of the run that draws, so that the parts do not disturb each other's choices
   */
  constructor (seed: number, purpose: number) {
    this.#random = seededRandom(seed * 1_000 + purpose)
    // Generators of neighbouring seeds begin alike.
    for (let skipped = 0; skipped < 20; skipped += 1) this.#random()
  }

  /** @returns a number from minimum up to but not including maximum */
  between (minimum: number, maximum: number): number {
    return minimum + this.#random() * (maximum - minimum)
  }

  /** @returns a whole number from 0 up to but not including count */
  index (count: number): number {
    return Math.floor(this.between(0, count))
  }

  /** @returns true with the given probability */
  chance (probability: number): boolean {
    return this.#random() < probability
  }

  /** @returns one of the items */
  pick<Item> (items: readonly Item[]): Item {
    return items[this.index(items.length)]!
  }

  /** @returns some different items in random order */
  pickSome<Item> (items: readonly Item[], count: number): Item[] {
    const rest = [...items]
    return Array.from({ length: Math.min(count, rest.length) }, () => rest.splice(this.index(rest.length), 1)[0]!)
  }

  /** @returns one of the items, each as likely as its weight */
  pickWeighted<Item> (weightedItems: ReadonlyArray<readonly [Item, number]>): Item {
    let rest = this.between(0, weightedItems.reduce((sum, [, weight]) => sum + weight, 0))
    return (weightedItems.find(([, weight]) => (rest -= weight) < 0) ?? weightedItems[0]!)[0]
  }
}
