/**
 * Divides an amount fairly: nobody gets more than wanted, and what some do not want goes to the others in equal parts.
 *
 * @param amount - what to divide
 * @param desiredAmounts - what each wants
 * @returns what each gets, in the same order
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
