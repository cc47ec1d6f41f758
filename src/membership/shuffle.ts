/**
 * @param items - the items, left as they are
 * @param random - yields numbers from 0 up to but not including 1
 * @returns the items in random order
 */
export function shuffle<Item> (items: readonly Item[], random: () => number): Item[] {
  const shuffled = [...items]
  for (let index = shuffled.length - 1; index > 0; index--) {
    const otherIndex = Math.floor(random() * (index + 1))
    const item = shuffled[index]!
    shuffled[index] = shuffled[otherIndex]!
    shuffled[otherIndex] = item
  }
  return shuffled
}
