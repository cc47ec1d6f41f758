import { hashText } from '../utils/hashText.js'

const KEY_MULTIPLIER = 0x9e3779b1
const FIRST_MIX_MULTIPLIER = 0x85ebca6b
const SECOND_MIX_MULTIPLIER = 0xc2b2ae35

/** An item with its name and score, which rank it. */
export interface RankedItem<Item> {
  item: Item
  name: string
  score: number
}

/** Named items with the hashes of their names, so that ranking them for a key hashes only the key. */
export class RendezvousItems<Item> {
  readonly #items: readonly Item[]
  readonly #names: readonly string[]
  readonly #nameHashes: Uint32Array

  /**
   * @param items - items to rank
   * @param nameOf - returns the name by which an item is ranked, unique among the items
   */
  constructor (items: readonly Item[], nameOf: (item: Item) => string) {
    this.#items = items
    this.#names = items.map(nameOf)
    this.#nameHashes = Uint32Array.from(this.#names, hashText)
  }

  /**
   * Merges the items into a list of the best ones.
   *
   * @param keyHash - result of {@link hashKey}
   * @param selected - best items so far, best first; changed in place
   * @param maximumCount - maximum number of selected items
   */
  selectInto (keyHash: number, selected: Array<RankedItem<Item>>, maximumCount: number): void {
    for (let index = 0; index < this.#nameHashes.length; index++) {
      const score = computeScore(keyHash, this.#nameHashes[index]!)
      if (selected.length === maximumCount && score < selected[maximumCount - 1]!.score) continue
      insertRanked(selected, { item: this.#items[index]!, name: this.#names[index]!, score })
      if (selected.length > maximumCount) selected.pop()
    }
  }
}

/**
 * @param key - key for which items are ranked
 * @returns hash of the key, for {@link RendezvousItems.selectInto}
 */
export function hashKey (key: string): number {
  return Math.imul(hashText(key), KEY_MULTIPLIER)
}

/**
 * @param keyHash - result of {@link hashKey}
 * @param nameHash - hash of a name
 * @returns score of the name for the key, higher is better: items that come or go do not change the order of the others
 */
export function computeScore (keyHash: number, nameHash: number): number {
  let hash = keyHash ^ nameHash
  hash = Math.imul(hash ^ (hash >>> 16), FIRST_MIX_MULTIPLIER)
  hash = Math.imul(hash ^ (hash >>> 13), SECOND_MIX_MULTIPLIER)
  return (hash ^ (hash >>> 16)) >>> 0
}

function insertRanked<Item> (selected: Array<RankedItem<Item>>, ranked: RankedItem<Item>): void {
  let position = selected.length
  while (position > 0 && isBefore(ranked, selected[position - 1]!)) position--
  selected.splice(position, 0, ranked)
}

function isBefore (left: RankedItem<unknown>, right: RankedItem<unknown>): boolean {
  return left.score === right.score ? left.name < right.name : left.score > right.score
}
