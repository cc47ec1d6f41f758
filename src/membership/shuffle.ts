/**
 * Shuffles a copy of a list.
 *
 * @param items - list to copy; it is not modified
 * @param random - returns random numbers from 0 (inclusive) to 1 (exclusive)
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
