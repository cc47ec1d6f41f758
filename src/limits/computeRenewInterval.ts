import type { LeaseTimings } from './LeaseTimings.js'

const INTERVAL_PER_CONSUMER_MILLISECONDS = 14
/** Requests within the time of a loan, so that one may be lost. */
const RENEWALS_PER_LOAN = 2

/**
 * Stretches the time between renewals with the number of hosts, to bound what the holder answers.
 *
 * @param timings - durations of leases
 * @param consumerCount - how many hosts share the budgets
 * @returns time between two requests of a client, in milliseconds
 */
export function computeRenewInterval (timings: LeaseTimings, consumerCount: number): number {
  const maximumMilliseconds = Math.max(timings.renewMilliseconds, timings.lendMilliseconds / RENEWALS_PER_LOAN)
  return Math.min(maximumMilliseconds, Math.max(timings.renewMilliseconds, consumerCount * INTERVAL_PER_CONSUMER_MILLISECONDS))
}
