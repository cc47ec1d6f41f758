import { hashKey, computeScore } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'

/** Mean number of entry hosts that may send to one cold upstream, whatever their number. */
const MEAN_SENDERS = 5
/** Least time between two requests of one sender: a little more than the second in which upstreams count. */
const MINIMUM_INTERVAL_MILLISECONDS = 1_100

/** What a share of a cold upstream depends on. */
export interface ColdShareQuery {
  upstream: string
  host: string
  /** Entry hosts of the system. */
  entryHosts: number
  /** Requests per second that the upstream bears from all hosts together. */
  requestsPerSecond: number
}

/**
 * Tokens for requests to cold upstreams.
 *
 * Load pattern: upstreams that start, or come back with their failure domain, crash above a low rate over all hosts.
 * Hosts that are cut off from each other can't agree who sends. So each draws by itself whether it is one of the
 * senders, five on average, and a sender sends one request at a time, at most one in a second.
 */
export class ColdShare {
  readonly #lastSentAtByUpstream = new Map<string, number>()

  /**
   * @param query - the upstream and who asks
   * @param now - on the clock of `performance.now()`
   * @returns whether this host may send one request to the upstream now
   */
  mayTake (query: ColdShareQuery, now: number): boolean {
    if (!isSender(query)) return false
    const lastSentAt = this.#lastSentAtByUpstream.get(query.upstream) ?? Number.NEGATIVE_INFINITY
    return now - lastSentAt >= Math.max(MINIMUM_INTERVAL_MILLISECONDS, 1000 * MEAN_SENDERS / query.requestsPerSecond)
  }

  /** Notes that a request is sent. */
  take (upstream: string, now: number): void {
    this.#lastSentAtByUpstream.set(upstream, now)
  }
}

function isSender ({ upstream, host, entryHosts }: ColdShareQuery): boolean {
  const hashFraction = computeScore(hashKey(upstream), hashText(host)) / 2 ** 32
  return hashFraction * Math.max(MEAN_SENDERS, entryHosts) < MEAN_SENDERS
}
