import { getElapsedMilliseconds, type ClockReading } from '../utils/ClockReading.js'
import { TOKEN_LIFETIME_MILLISECONDS } from './QuotaBounds.js'

interface TokenBatch {
  count: number
  /** When the control host was asked: the tokens count from then at the latest. */
  requestedAt: ClockReading
}

/** Unexpired tokens of one account at an entry host. They expire by the wall clock as well, as the host may be suspended. */
export class TokenPool {
  #batches: TokenBatch[] = []
  readonly #onExpired: (count: number) => void

  /** @param onExpired - called with the number of tokens that expired unused */
  constructor (onExpired: (count: number) => void) {
    this.#onExpired = onExpired
  }

  /** Number of tokens that have not expired. */
  get count (): number {
    this.#discardExpired()
    return this.#batches.reduce((sum, { count }) => sum + count, 0)
  }

  add (count: number, requestedAt: ClockReading): void {
    if (count > 0) this.#batches.push({ count, requestedAt })
  }

  /** @returns when the token that was taken had been asked for, undefined when there is none */
  take (): ClockReading | undefined {
    this.#discardExpired()
    const [oldest] = this.#batches
    if (oldest === undefined) return undefined
    oldest.count -= 1
    if (oldest.count === 0) this.#batches.shift()
    return oldest.requestedAt
  }

  #discardExpired (): void {
    const unexpired = this.#batches.filter(({ requestedAt }) => getElapsedMilliseconds(requestedAt) < TOKEN_LIFETIME_MILLISECONDS)
    if (unexpired.length === this.#batches.length) return
    const expiredCount = this.#batches.filter((batch) => !unexpired.includes(batch)).reduce((sum, { count }) => sum + count, 0)
    this.#batches = unexpired
    this.#onExpired(expiredCount)
  }
}
