/** Durations of leases and of voters' promises, on the monotonic clock. They must be identical on all hosts of a scope. */
export interface LeaseTimings {
  /** Duration of a lease, starting when the client sends its request. */
  leaseMilliseconds: number
  /** Time for which a loan may be leased out, starting at the holder's answer that the lending client names in its request. */
  lendMilliseconds: number
  /** Interval between two requests of a client when few hosts share the budgets. */
  renewMilliseconds: number
  /** Minimum interval between two requests after a refused spend. */
  urgentRenewMilliseconds: number
  /** Duration of a voter's promise to a candidate. */
  promiseMilliseconds: number
  /** Interval between two rounds of promise requests. */
  campaignMilliseconds: number
  /** Timeout of a call to another host. */
  callTimeoutMilliseconds: number
}

/** Default timings. Leases run longer than the election of a new holder takes. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  leaseMilliseconds: 4000,
  lendMilliseconds: 2000,
  renewMilliseconds: 500,
  urgentRenewMilliseconds: 100,
  promiseMilliseconds: 2000,
  campaignMilliseconds: 400,
  callTimeoutMilliseconds: 200
}

/**
 * Fraction by which a host shortens a duration that it may use, and extends one whose end at another host it waits for,
 * as the clock rates of two hosts differ slightly.
 */
export const CLOCK_RATE_MARGIN = 0.05
