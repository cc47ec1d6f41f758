import type { RouteTarget } from './RoutingPlan.js'

/**
 * Picks the service for one request at random, in proportion to the weights.
 *
 * @param targets - services with their weights, at least one above zero
 * @param randomValue - random number from 0 up to but not including 1
 * @returns the name of the service
 */
export function pickTarget (targets: readonly RouteTarget[], randomValue: number): string {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = randomValue * totalWeight
  for (const { service, weight } of targets) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return targets[targets.length - 1]!.service
}
