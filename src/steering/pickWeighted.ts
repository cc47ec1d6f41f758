/**
 * Picks one of several by weight.
 *
 * @param items - what to pick from
 * @param weightOf - weight of an item, 0 or more
 * @param random - gives numbers from 0 up to 1
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
