const BURST_SECONDS = 0.1
const MINIMUM_REFILL_FRACTION = 0.5

/**
 * Computes the largest amount that may be spent at once.
 *
 * @param rate - amount per second that may be spent
 * @param unit - smallest amount of a single spend
 * @returns the maximum number of tokens of a bucket
 */
export function computeBurst (rate: number, unit: number): number {
  return rate === 0 ? 0 : Math.max(rate * BURST_SECONDS, unit)
}

/**
 * Computes the amount per second that can be spent for long, which leaves room for a burst within the rate.
 *
 * @param rate - amount per second that may be spent, burst included
 * @param unit - smallest amount of a single spend
 * @returns the amount per second by which a bucket is refilled
 */
export function computeRefillRate (rate: number, unit: number): number {
  return Math.max(rate - computeBurst(rate, unit), rate * MINIMUM_REFILL_FRACTION)
}
