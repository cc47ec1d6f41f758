import { DemandMeter } from '../limits/DemandMeter.js'
import type { ClockReading } from '../utils/ClockReading.js'
import type { QuotaAnswer } from './QuotaAnswer.js'
import type { QuotaRow } from './QuotaMessages.js'
import { TokenPool } from './TokenPool.js'

/** Time over which the demand of an account at this host is measured. */
const DEMAND_WINDOW_MILLISECONDS = 1_500
/** Demand that prefetched tokens cover, and the remaining part at which more are fetched. */
const PREFETCH_SECONDS = 0.75
const REFETCH_SECONDS = 0.25
/** With fewer tokens, too many of them would expire unused and count against the quota. */
const MINIMUM_PREFETCH = 3
/** Accounts that were just denied get no tokens in advance: they would only sit at hosts that don't need them at once. */
const DENIAL_MILLISECONDS = 1_000
/** Maximum time for which requests are refused without a call: another host may have returned leases meanwhile. */
const MAXIMUM_LOCAL_DENIAL_MILLISECONDS = 250

/** Resolves a request that waits for a token; returns false when its guest has left. */
export type SettleWaiting = (answer: QuotaAnswer | undefined, token: ClockReading | undefined) => boolean

/** Tokens, waiting requests and demand of one account at an entry host. */
export class AccountTokens {
  readonly name: string
  readonly tokens: TokenPool
  readonly waiting: SettleWaiting[] = []
  /** Whether a call for this account is in flight. */
  isAsked = false
  /** Time from which other control hosts may be asked again after a denial. */
  furtherCallsAllowedAt = Number.NEGATIVE_INFINITY
  readonly #demand = new DemandMeter(DEMAND_WINDOW_MILLISECONDS)
  #arrivals = 0
  #deniedAt = Number.NEGATIVE_INFINITY
  #deniedUntil = Number.NEGATIVE_INFINITY
  #retryAt = Number.NEGATIVE_INFINITY

  /**
   * @param name - name of the account
   * @param onExpired - called with the number of tokens that expired unused
   */
  constructor (name: string, onExpired: (count: number) => void) {
    this.name = name
    this.tokens = new TokenPool(onExpired)
  }

  recordArrival (): void {
    this.#arrivals += 1
    this.#demand.add(1)
  }

  /** @returns milliseconds after which a guest should come back, if the account was denied so recently that no call is worthwhile */
  get localDenialMilliseconds (): number | undefined {
    const now = performance.now()
    return now < this.#deniedUntil ? Math.max(1, this.#retryAt - now) : undefined
  }

  /** Whether tokens should be fetched before requests need them. */
  get needsPrefetch (): boolean {
    return this.#computePrefetch() > 0 && this.tokens.count < this.#demand.readPerSecond() * REFETCH_SECONDS
  }

  /** @returns what this account needs now; resets the count of arrivals */
  createRow (): QuotaRow {
    const held = this.tokens.count
    const arrivals = this.#arrivals
    this.#arrivals = 0
    return [this.name, this.waiting.length, Math.max(0, this.#computePrefetch() - held), held, arrivals]
  }

  /** @returns what the waiting requests need; their arrival was reported before */
  createWaitingRow (): QuotaRow {
    return [this.name, this.waiting.length, 0, this.tokens.count, 0]
  }

  /** Gives the tokens to the waiting requests, in the order of their arrival. */
  serveWaiting (): void {
    while (this.waiting.length > 0) {
      const token = this.tokens.take()
      if (token === undefined) return
      if (!this.waiting.shift()!(undefined, token)) this.tokens.add(1, token)
    }
  }

  /** Refuses all waiting requests. */
  refuseWaiting (retryAfterMilliseconds: number, isExceeded: boolean): void {
    for (const settle of this.waiting.splice(0)) settle({ isGranted: false, retryAfterMilliseconds, isExceeded }, undefined)
  }

  /** Refuses all waiting requests, and those that arrive soon, as the account has used up its quota. */
  deny (waitMilliseconds: number): void {
    const now = performance.now()
    this.#deniedAt = now
    this.#retryAt = now + waitMilliseconds
    this.#deniedUntil = now + Math.min(waitMilliseconds, MAXIMUM_LOCAL_DENIAL_MILLISECONDS)
    this.refuseWaiting(waitMilliseconds, true)
  }

  #computePrefetch (): number {
    if (performance.now() - this.#deniedAt < DENIAL_MILLISECONDS) return 0
    const amount = Math.floor(this.#demand.readPerSecond() * PREFETCH_SECONDS)
    return amount < MINIMUM_PREFETCH ? 0 : amount
  }
}
