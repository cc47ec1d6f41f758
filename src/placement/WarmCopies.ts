import { RecentMap } from '../utils/RecentMap.js'

/** Pairs of an object and an upstream that are remembered at least. */
const PAIRS_KEPT = 4_096
/** How long an upstream keeps an object that no request asks for, as seen on the users' days of load. */
const WARM_MILLISECONDS = 6_000

/** Where this host has seen objects handled lately. */
export class WarmCopies {
  readonly #handledAt = new RecentMap<number>(PAIRS_KEPT)

  /** Notes that an upstream answered a request on an object. */
  note (objectKey: string, upstream: string, now: number): void {
    this.#handledAt.set(`${upstream} ${objectKey}`, now)
  }

  /** @returns whether an upstream handled an object lately, as far as this host knows */
  isWarm (objectKey: string, upstream: string, now: number): boolean {
    return now - (this.#handledAt.get(`${upstream} ${objectKey}`) ?? Number.NEGATIVE_INFINITY) < WARM_MILLISECONDS
  }
}
