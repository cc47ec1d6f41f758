import type { Budget } from '../limits/Budget.js'
import type { GuestAccount } from '../plan/RoutingPlan.js'
import type { QuotaBounds } from './QuotaBounds.js'

/** Leases are rounded to whole units or hundredths of them, which would be a third of the part of an account with 0.2 requests per second. */
export const UNITS_PER_REQUEST = 100
/** Fraction of the allowance that the buckets of the control hosts hold; the rest covers restarts, which begin with one request. */
const ROUNDING_FRACTION = 0.8
/** Number of requests over all hosts that a measurement of demand should contain at the full rate. */
const REQUESTS_PER_MEASUREMENT = 60
/** Shares must follow a hot account within a second; the measured demand rises from the beginning of a window on. */
const MINIMUM_DEMAND_WINDOW_MILLISECONDS = 1_000
const MAXIMUM_DEMAND_WINDOW_MILLISECONDS = 10_000

/**
 * Load pattern: most accounts are so small that a control host sees one of their requests in several seconds. A short
 * measurement would move their shares with each request, and buckets without a part of the allowance would refuse the second
 * of two requests that happen to meet.
 *
 * @param account - account with a limit
 * @param bounds - tolerances of the deployment
 * @param consumerCount - number of control hosts that share the budget
 * @returns the budget of the account, in units of which a request takes {@link UNITS_PER_REQUEST}
 */
export function createQuotaBudget (account: GuestAccount, bounds: QuotaBounds, consumerCount: number): Budget {
  const measurementMilliseconds = REQUESTS_PER_MEASUREMENT / account.requestsPerSecond * 1_000
  return {
    name: account.name,
    amountPerSecond: account.requestsPerSecond * UNITS_PER_REQUEST,
    unit: UNITS_PER_REQUEST,
    burst: account.burst * UNITS_PER_REQUEST,
    roundingAllowance: ROUNDING_FRACTION * bounds.allowance / consumerCount * UNITS_PER_REQUEST,
    demandWindowMilliseconds: Math.min(Math.max(measurementMilliseconds, MINIMUM_DEMAND_WINDOW_MILLISECONDS), MAXIMUM_DEMAND_WINDOW_MILLISECONDS)
  }
}
