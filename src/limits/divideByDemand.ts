/**
 * Divides an amount by max-min fairness: no consumer gets more than it desires, and what a consumer leaves is divided equally
 * among the others.
 *
 * @param amount - amount to divide
 * @param desiredAmounts - amount desired by each consumer
 * @returns amount for each consumer, in the same order
 */
export function divideByDemand (amount: number, desiredAmounts: readonly number[]): number[] {
  const portions = desiredAmounts.map(() => 0)
  const indexesByAmount = desiredAmounts.map((_amount, index) => index).sort((left, right) => desiredAmounts[left]! - desiredAmounts[right]!)
  let left = amount
  indexesByAmount.forEach((index, position) => {
    const portion = Math.min(desiredAmounts[index]!, left / (indexesByAmount.length - position))
    portions[index] = portion
    left -= portion
  })
  return portions
}
