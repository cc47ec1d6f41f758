import { RecentMap } from '../utils/RecentMap.js'

/** Pairs of an object and an upstream that are remembered at least. */
const MINIMUM_RETAINED_PAIRS = 4_096
/** How long an upstream keeps an object that no request asks for, as seen on the users' days of load. */
const WARM_DURATION_MILLISECONDS = 6_000

/** Where this host has seen objects handled lately. */
export class WarmObjects {
  readonly #lastHandledAt = new RecentMap<number>(MINIMUM_RETAINED_PAIRS)

  /** Notes that an upstream answered a request on an object. */
  recordHandled (objectKey: string, upstream: string, now: number): void {
    this.#lastHandledAt.set(`${upstream} ${objectKey}`, now)
  }

  /** @returns whether an upstream handled an object lately, as far as this host knows */
  isWarm (objectKey: string, upstream: string, now: number): boolean {
    return now - (this.#lastHandledAt.get(`${upstream} ${objectKey}`) ?? Number.NEGATIVE_INFINITY) < WARM_DURATION_MILLISECONDS
  }
}
