import type { GuestAccount } from '../plan/RoutingPlan.js'
import { Step } from '../types/Step.js'
import { getElapsedMilliseconds, readClocks, type ClockReading } from '../utils/ClockReading.js'
import { AccountTokens, type SettleWaiting } from './AccountTokens.js'
import type { QuotaAnswer } from './QuotaAnswer.js'
import { QuotaCaller, type QuotaCallerOptions } from './QuotaCaller.js'
import { QuotaCounter } from './QuotaCounter.js'

/** Number of control hosts that are called for one request before it is refused as unavailable. */
const MAXIMUM_CALLS = 2
/** Time for which requests are refused without a call after no control host answered, so that guests don't all wait for the timeouts. */
const UNAVAILABLE_MILLISECONDS = 200
/** Number of other control hosts that are asked after a denial, and the minimum time until this is done again for the account. */
const MAXIMUM_FURTHER_CALLS = 2
const FURTHER_CALLS_INTERVAL_MILLISECONDS = 1_000
/** Age up to which a token is given back: an older one would be used in a later window than the one that it counts in. */
const MAXIMUM_REFUND_AGE_MILLISECONDS = 150

/** Dependencies of {@link AccountQuota}. */
export interface AccountQuotaOptions extends QuotaCallerOptions {
  /** @returns a random number from 0 up to but not including 1 */
  random: () => number
}

/**
 * Takes tokens for requests of client accounts from control hosts. Accounts without a limit need none. One call carries all
 * accounts that need tokens at the moment, and an account has one call in flight at most.
 */
export class AccountQuota {
  readonly #options: AccountQuotaOptions
  readonly #caller: QuotaCaller
  readonly #accountsByName = new Map<string, AccountTokens>()
  readonly #dueAccounts = new Set<string>()
  #unavailableUntil = Number.NEGATIVE_INFINITY

  /** @param options - control hosts, transport, counters and log */
  constructor (options: AccountQuotaOptions) {
    this.#options = options
    this.#caller = new QuotaCaller(options)
  }

  /**
   * Takes a token for one request.
   *
   * @param account - account of the request
   * @param cancelled - aborted when the guest disconnects; the wait then ends with a denial
   * @returns whether the request may be sent, or when the guest should come back
   */
  async take (account: GuestAccount, cancelled: AbortSignal): Promise<QuotaAnswer> {
    if (account.requestsPerSecond <= 0) return { isGranted: true, refund: () => {} }
    const entry = this.#getAccount(account.name)
    entry.recordArrival()
    const token = entry.waiting.length === 0 ? entry.tokens.take() : undefined
    if (token !== undefined) {
      if (entry.needsPrefetch) this.#schedule(account.name)
      return this.#createGrant(entry, token)
    }
    const retryAfterMilliseconds = entry.localDenialMilliseconds
    if (retryAfterMilliseconds !== undefined) return { isGranted: false, retryAfterMilliseconds, isExceeded: true }
    const unavailableMilliseconds = this.#unavailableUntil - performance.now()
    if (unavailableMilliseconds > 0) return { isGranted: false, retryAfterMilliseconds: unavailableMilliseconds, isExceeded: false }
    this.#schedule(account.name)
    return await this.#wait(entry, cancelled)
  }

  /** Discards what is known of accounts that the plan no longer has. */
  retain (accounts: readonly GuestAccount[]): void {
    const names = new Set(accounts.map(({ name }) => name))
    for (const [name, entry] of this.#accountsByName) if (!names.has(name) && entry.waiting.length === 0) this.#accountsByName.delete(name)
  }

  async #wait (entry: AccountTokens, cancelled: AbortSignal): Promise<QuotaAnswer> {
    return await new Promise<QuotaAnswer>((resolve) => {
      const onCancel = (): void => { resolve({ isGranted: false, retryAfterMilliseconds: 0, isExceeded: false }) }
      const settle: SettleWaiting = (answer, token) => {
        cancelled.removeEventListener('abort', onCancel)
        if (cancelled.aborted) return false
        if (token !== undefined) resolve(this.#createGrant(entry, token))
        else if (answer !== undefined) resolve(answer)
        return true
      }
      if (cancelled.aborted) return onCancel()
      cancelled.addEventListener('abort', onCancel, { once: true })
      entry.waiting.push(settle)
    })
  }

  #createGrant (entry: AccountTokens, token: ClockReading): QuotaAnswer {
    let isRefunded = false
    const refund = (): void => {
      if (isRefunded || getElapsedMilliseconds(token) > MAXIMUM_REFUND_AGE_MILLISECONDS) return
      isRefunded = true
      this.#options.counters.increment(QuotaCounter.Refunded)
      entry.tokens.add(1, token)
    }
    return { isGranted: true, refund }
  }

  #getAccount (name: string): AccountTokens {
    const existing = this.#accountsByName.get(name)
    if (existing !== undefined) return existing
    const entry = new AccountTokens(name, (count) => { this.#options.counters.increment(QuotaCounter.Expired, count) })
    this.#accountsByName.set(name, entry)
    return entry
  }

  /** Collects the accounts of one iteration of the event loop in one call. */
  #schedule (name: string): void {
    if (this.#accountsByName.get(name)?.isAsked === true) return
    if (this.#dueAccounts.size === 0) setImmediate(() => { this.#callForDue().catch((error: unknown) => { this.#reportDefect(error) }) })
    this.#dueAccounts.add(name)
  }

  async #callForDue (): Promise<void> {
    const entries = [...this.#dueAccounts].map((name) => this.#getAccount(name))
    this.#dueAccounts.clear()
    for (const entry of entries) entry.isAsked = true
    const unanswered = await this.#callFor(entries)
    if (unanswered.length > 0) this.#unavailableUntil = performance.now() + UNAVAILABLE_MILLISECONDS
    for (const entry of unanswered) {
      entry.isAsked = false
      entry.refuseWaiting(UNAVAILABLE_MILLISECONDS, false)
    }
  }

  /** @returns the accounts for which no control host had an answer */
  async #callFor (entries: AccountTokens[]): Promise<AccountTokens[]> {
    let unanswered = entries
    const rows = new Map(entries.map((entry) => [entry, entry.createRow()]))
    for (const address of this.#caller.rank().slice(0, MAXIMUM_CALLS)) {
      if (unanswered.length === 0) break
      const asked = unanswered
      const requestedAt = readClocks()
      const grants = await this.#caller.call(address, asked.map((entry) => rows.get(entry)!))
      unanswered = asked.filter((_entry, index) => grants?.[index] == null)
      asked.forEach((entry, index) => {
        const grant = grants?.[index]
        if (grant != null) this.#settle(entry, address, grant, requestedAt).catch((error: unknown) => { this.#reportDefect(error) })
      })
    }
    return unanswered
  }

  async #settle (entry: AccountTokens, address: string, [granted, waitMilliseconds]: [number, number], requestedAt: ClockReading): Promise<void> {
    this.#receive(entry, granted, requestedAt)
    const isDenied = waitMilliseconds > 0
    if (isDenied && entry.waiting.length > 0) entry.deny(await this.#callElsewhere(entry, address, waitMilliseconds))
    entry.isAsked = false
    if (entry.waiting.length > 0) this.#schedule(entry.name)
  }

  /**
   * Asks other control hosts for the requests that the nearest one denied. The part of a small account at one control host may
   * be used up by two requests that happen to meet, while the others have tokens. A hot account asks seldom.
   *
   * @returns milliseconds until there are tokens for those that still wait
   */
  async #callElsewhere (entry: AccountTokens, address: string, waitMilliseconds: number): Promise<number> {
    const now = performance.now()
    if (now < entry.furtherCallsAllowedAt) return waitMilliseconds
    entry.furtherCallsAllowedAt = now + FURTHER_CALLS_INTERVAL_MILLISECONDS
    let shortestWait = waitMilliseconds
    for (const other of this.#pickOthers(address)) {
      if (entry.waiting.length === 0) break
      this.#options.counters.increment(QuotaCounter.FurtherCalls)
      const requestedAt = readClocks()
      const grant = (await this.#caller.call(other, [entry.createWaitingRow()]))?.[0]
      if (grant == null) continue
      this.#receive(entry, grant[0], requestedAt)
      if (grant[1] > 0) shortestWait = Math.min(shortestWait, grant[1])
    }
    return shortestWait
  }

  /** @returns some control hosts other than the given one at random, so that their tokens are used evenly */
  #pickOthers (address: string): string[] {
    const others = this.#caller.rank().filter((other) => other !== address)
    const picked: string[] = []
    while (picked.length < MAXIMUM_FURTHER_CALLS && others.length > 0) picked.push(...others.splice(Math.floor(this.#options.random() * others.length), 1))
    return picked
  }

  /** Requests that wait must not hang because of a reply in an unexpected form. */
  #reportDefect (error: unknown): void {
    this.#options.log.error('quota-task-failed', { step: Step.Quota, cause: String(error) })
    for (const entry of this.#accountsByName.values()) {
      if (!entry.isAsked) continue
      entry.isAsked = false
      entry.refuseWaiting(UNAVAILABLE_MILLISECONDS, false)
    }
  }

  #receive (entry: AccountTokens, granted: number, requestedAt: ClockReading): void {
    if (granted > 0) this.#options.counters.increment(QuotaCounter.Received, granted)
    entry.tokens.add(granted, requestedAt)
    entry.serveWaiting()
  }
}
