import { computeHostFraction } from './computeHostFraction.js'

/** Time between the returns of two hosts, on average. */
const MILLISECONDS_PER_HOST = 125
const MINIMUM_SPREAD_MILLISECONDS = 500
const MAXIMUM_SPREAD_MILLISECONDS = 5_000

/**
 * Spreads the returns of the hosts to an upstream that asked all of them for a pause, in an order that differs for each
 * upstream.
 *
 * @param upstream - identifier of the upstream
 * @param host - name of this host
 * @param entryHosts - number of entry hosts in the system
 * @returns delay of this host after the end of the pause, in milliseconds
 */
export function computeReturnDelay (upstream: string, host: string, entryHosts: number): number {
  const spread = Math.min(MAXIMUM_SPREAD_MILLISECONDS, Math.max(MINIMUM_SPREAD_MILLISECONDS, MILLISECONDS_PER_HOST * entryHosts))
  return spread * computeHostFraction(upstream, host)
}
