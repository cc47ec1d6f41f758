import { createHash } from 'node:crypto'
import { RecentMap } from '../utils/RecentMap.js'

/** Minimum number of pairs of an object and an upstream that are retained. */
const MINIMUM_RETAINED_PAIRS = 4_096
/** How long an upstream keeps an object in memory without requests for it. */
const WARM_DURATION_MILLISECONDS = 6_000
/** Length from which on the digest of a key is retained instead of the key: guests choose keys, as long as a head allows. */
const LONG_KEY_LENGTH = 128

/** Upstreams at which this host has seen objects handled recently. */
export class WarmObjects {
  readonly #lastHandledAt = new RecentMap<number>(MINIMUM_RETAINED_PAIRS)
  /** The long key that was shortened last; a choice of upstreams asks for the same one at each of them. */
  #longKey = ''
  #shortKey = ''

  /** Records that an upstream answered a request on an object. */
  recordHandled (objectKey: string, upstream: string, now: number): void {
    this.#lastHandledAt.set(`${upstream} ${this.#shorten(objectKey)}`, now)
  }

  /** @returns whether an upstream handled an object recently, as far as this host knows */
  isWarm (objectKey: string, upstream: string, now: number): boolean {
    return now - (this.#lastHandledAt.get(`${upstream} ${this.#shorten(objectKey)}`) ?? Number.NEGATIVE_INFINITY) < WARM_DURATION_MILLISECONDS
  }

  #shorten (objectKey: string): string {
    if (objectKey.length < LONG_KEY_LENGTH) return objectKey
    if (objectKey !== this.#longKey) {
      this.#longKey = objectKey
      this.#shortKey = createHash('sha256').update(objectKey).digest('hex')
    }
    return this.#shortKey
  }
}
