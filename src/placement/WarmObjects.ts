import { RecentMap } from '../utils/RecentMap.js'

/** Minimum number of pairs of an object and an upstream that are retained. */
const MINIMUM_RETAINED_PAIRS = 4_096
/** How long an upstream keeps an object in memory without requests for it. */
const WARM_DURATION_MILLISECONDS = 6_000

/** Upstreams at which this host has seen objects handled recently. */
export class WarmObjects {
  readonly #lastHandledAt = new RecentMap<number>(MINIMUM_RETAINED_PAIRS)

  /** Records that an upstream answered a request on an object. */
  recordHandled (objectKey: string, upstream: string, now: number): void {
    this.#lastHandledAt.set(`${upstream} ${objectKey}`, now)
  }

  /** @returns whether an upstream handled an object recently, as far as this host knows */
  isWarm (objectKey: string, upstream: string, now: number): boolean {
    return now - (this.#lastHandledAt.get(`${upstream} ${objectKey}`) ?? Number.NEGATIVE_INFINITY) < WARM_DURATION_MILLISECONDS
  }
}
