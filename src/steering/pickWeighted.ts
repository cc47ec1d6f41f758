/**
 * Picks one of several items at random, in proportion to their weights.
 *
 * @param items - items to pick from
 * @param weightOf - returns the weight of an item, 0 or more
 * @param random - returns numbers from 0 (inclusive) to 1 (exclusive)
 * @returns an item, undefined when no weight is above 0
 */
export function pickWeighted<Item> (items: Item[], weightOf: (item: Item) => number, random: () => number): Item | undefined {
  const totalWeight = items.reduce((total, item) => total + weightOf(item), 0)
  if (totalWeight <= 0) return undefined
  let remainingWeight = random() * totalWeight
  const weighted = items.filter((item) => weightOf(item) > 0)
  for (const item of weighted) {
    remainingWeight -= weightOf(item)
    if (remainingWeight < 0) return item
  }
  return weighted.at(-1)
}
