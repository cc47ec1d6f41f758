const STATIC_FRACTION = 0.3

/**
 * @param consumerCount - how many hosts share the budgets of a scope
 * @returns the part of each budget, from 0 to 1, that is split evenly among them; the rest is leased
 */
export function computeStaticFraction (consumerCount: number): number {
  return consumerCount === 1 ? 1 : STATIC_FRACTION
}
