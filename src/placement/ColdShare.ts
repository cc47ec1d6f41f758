import { hashKey, scoreOf } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'

/** Mean number of entry hosts that may send to one cold upstream, whatever their number. */
const SENDERS = 5
/** Least time between two requests of one sender: a little more than the second in which upstreams count. */
const INTERVAL_MILLISECONDS = 1_100

/** What a share of a cold upstream depends on. */
export interface ColdShareQuestion {
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
  readonly #spentAt = new Map<string, number>()

  /**
   * @param question - the upstream and who asks
   * @param now - on the clock of `performance.now()`
   * @returns whether this host may send one request to the upstream now
   */
  mayTake (question: ColdShareQuestion, now: number): boolean {
    if (!isSender(question)) return false
    const spentAt = this.#spentAt.get(question.upstream) ?? Number.NEGATIVE_INFINITY
    return now - spentAt >= Math.max(INTERVAL_MILLISECONDS, 1000 * SENDERS / question.requestsPerSecond)
  }

  /** Notes that a request is sent. */
  take (upstream: string, now: number): void {
    this.#spentAt.set(upstream, now)
  }
}

function isSender ({ upstream, host, entryHosts }: ColdShareQuestion): boolean {
  const draw = scoreOf(hashKey(upstream), hashText(host)) / 2 ** 32
  return draw * Math.max(SENDERS, entryHosts) < SENDERS
}
