/**
 * Picks two items at random and returns the better one, so that hosts with the same view do not all pick the same item.
 *
 * @param items - items to pick from
 * @param costOf - returns the cost of an item; lower is better
 * @param random - returns numbers from 0 (inclusive) to 1 (exclusive)
 * @returns the better of the two, the only item if there is one, undefined if there is none
 */
export function pickLessLoaded<Item> (items: Item[], costOf: (item: Item) => number, random: () => number): Item | undefined {
  if (items.length < 2) return items[0]
  const first = Math.floor(random() * items.length)
  const second = (first + 1 + Math.floor(random() * (items.length - 1))) % items.length
  return costOf(items[second]!) < costOf(items[first]!) ? items[second] : items[first]
}
