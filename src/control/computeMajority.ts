/**
 * @param count - number of voters
 * @returns the smallest number of them that is more than half
 */
export function computeMajority (count: number): number {
  return Math.floor(count / 2) + 1
}
