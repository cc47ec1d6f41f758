import type { LeaseTimings } from './LeaseTimings.js'

const INTERVAL_PER_CONSUMER_MILLISECONDS = 14
/** Requests sent during the time of a loan, so that one of them may be lost. */
const RENEWALS_PER_LOAN = 2

/**
 * Computes the interval between renewals. It grows with the number of hosts, to bound the load of the holder.
 *
 * @param timings - durations of leases and loans
 * @param consumerCount - number of hosts that share the budgets
 * @returns interval between two requests of a client, in milliseconds
 */
export function computeRenewInterval (timings: LeaseTimings, consumerCount: number): number {
  const maximumMilliseconds = Math.max(timings.renewMilliseconds, timings.lendMilliseconds / RENEWALS_PER_LOAN)
  return Math.min(maximumMilliseconds, Math.max(timings.renewMilliseconds, consumerCount * INTERVAL_PER_CONSUMER_MILLISECONDS))
}
