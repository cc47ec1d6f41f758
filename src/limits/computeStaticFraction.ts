const STATIC_FRACTION = 0.3

/**
 * Computes the fraction of each budget that is split evenly into static shares; the rest is leased.
 *
 * @param consumerCount - number of hosts that share the budgets of a scope
 * @returns a fraction from 0 to 1; 1 for a single host, which needs no leases
 */
export function computeStaticFraction (consumerCount: number): number {
  return consumerCount === 1 ? 1 : STATIC_FRACTION
}
