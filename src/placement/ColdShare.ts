import { computeHostFraction } from './computeHostFraction.js'

/** Mean number of entry hosts that may send to one cold upstream, however many hosts there are. */
const MEAN_SENDERS = 5
/** Minimum time between two requests of one sender: slightly more than the second over which upstreams count. */
const MINIMUM_INTERVAL_MILLISECONDS = 1_100

/** Input to the decision whether a host may send to a cold upstream. */
export interface ColdShareQuery {
  upstream: string
  host: string
  /** Number of entry hosts in the system. */
  entryHosts: number
  /** Requests per second that the cold upstream can take from all hosts together. */
  requestsPerSecond: number
}

/**
 * Limits the requests that this host sends to cold upstreams.
 *
 * Load pattern: upstreams that start, or come back with their failure domain, crash above a low rate over all hosts.
 * Hosts that are partitioned from each other cannot agree on who sends. So each host decides by a hash whether it is
 * one of the senders, five on average, and a sender sends one request at a time, at most one per second.
 */
export class ColdShare {
  readonly #lastSentAtByUpstream = new Map<string, number>()

  /**
   * @param query - the upstream, this host and the number of entry hosts
   * @param now - current time on the clock of `performance.now()`
   * @returns whether this host may send one request to the upstream now
   */
  mayTake (query: ColdShareQuery, now: number): boolean {
    if (!isSender(query)) return false
    const lastSentAt = this.#lastSentAtByUpstream.get(query.upstream) ?? Number.NEGATIVE_INFINITY
    return now - lastSentAt >= Math.max(MINIMUM_INTERVAL_MILLISECONDS, 1000 * MEAN_SENDERS / query.requestsPerSecond)
  }

  /** Records that a request is sent to an upstream. */
  take (upstream: string, now: number): void {
    this.#lastSentAtByUpstream.set(upstream, now)
  }
}

function isSender ({ upstream, host, entryHosts }: ColdShareQuery): boolean {
  return computeHostFraction(upstream, host) * Math.max(MEAN_SENDERS, entryHosts) < MEAN_SENDERS
}
