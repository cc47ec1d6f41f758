import type { GuestAccount } from '../plan/RoutingPlan.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { AdvanceTokens } from './AdvanceTokens.js'
import { createQuotaBudget } from './createQuotaBudget.js'
import type { QuotaBounds } from './QuotaBounds.js'
import { QuotaCounter } from './QuotaCounter.js'
import { QuotaLeases, type QuotaLeasesOptions } from './QuotaLeases.js'
import type { QuotaGrant, QuotaReply, QuotaRequest, QuotaRow } from './QuotaMessages.js'

/**
 * Fraction of the overage for tokens that entry hosts hold in advance. Such tokens were granted before the window in which they
 * are used; the rest of the overage covers refunds, delays of messages, and the static share of a restarted host that was lent.
 */
const ADVANCE_FRACTION = 0.5
/** Fraction of the available tokens that may be granted in advance, so that waiting requests of other entry hosts find some. */
const AVAILABLE_FRACTION = 0.5
/** Minimum time between two log lines about denied tokens of one account. */
const LOG_INTERVAL_MILLISECONDS = 10_000

/** Dependencies of {@link QuotaDesk}. */
export interface QuotaDeskOptions extends QuotaLeasesOptions {
  bounds: () => QuotaBounds
}

interface DeskAccount {
  account: GuestAccount
  advanceTokens: AdvanceTokens
  deniedCount: number
  loggedAt: number
}

/** Grants tokens for requests of client accounts to entry hosts, from this control host's part of the accounts' budgets. */
export class QuotaDesk {
  readonly #options: QuotaDeskOptions
  readonly #leases: QuotaLeases
  #accounts: readonly GuestAccount[] | undefined
  #accountsByName = new Map<string, DeskAccount>()
  #isStopped = false

  /** @param options - tolerances, location, other control hosts and transport */
  constructor (options: QuotaDeskOptions) {
    this.#options = options
    this.#leases = new QuotaLeases(options)
    options.registerHandler(PeerMethod.TakeQuota, (request: QuotaRequest) => this.#handle(request))
  }

  /** Whether an account has a limit, so that the control hosts must know of each other. */
  get isActive (): boolean {
    return this.#leases.isActive
  }

  /**
   * Replaces the accounts when the plan changes.
   *
   * @param accounts - accounts of the plan; undefined when it has none or is not known yet
   */
  setAccounts (accounts: readonly GuestAccount[] | undefined): void {
    if (accounts === this.#accounts || this.#isStopped) return
    this.#accounts = accounts
    const previous = this.#accountsByName
    this.#accountsByName = new Map((accounts ?? []).map((account) => {
      const existing = previous.get(account.name)
      return [account.name, existing === undefined ? createDeskAccount(account) : { ...existing, account }]
    }))
    const limitedAccounts = (accounts ?? []).filter(({ requestsPerSecond }) => requestsPerSecond > 0)
    this.#leases.setBudgets((consumerCount) => limitedAccounts.map((account) => createQuotaBudget(account, this.#options.bounds(), consumerCount)))
    if (limitedAccounts.length > 0) this.#options.log.info('quotas-in-force', { step: Step.Quota, accounts: limitedAccounts.length, shares: this.#leases.consumerCount })
  }

  /** Returns leases and promises to the other control hosts, and stops. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#leases.stop()
  }

  #handle ({ client, rows }: QuotaRequest): QuotaReply {
    const { isMember } = this.#leases
    return { grants: rows.map((row) => isMember ? this.#grant(client, row) : null) }
  }

  #grant (client: string, [name, waiting, inAdvance, held, arrivals]: QuotaRow): QuotaGrant | null {
    const { counters } = this.#options
    const entry = this.#accountsByName.get(name)
    if (entry === undefined) {
      counters.increment(QuotaCounter.Unknown)
      return null
    }
    if (entry.account.requestsPerSecond <= 0) return [waiting, 0]
    this.#leases.recordDemand(name, arrivals)
    const granted = this.#leases.spendUpTo(name, waiting)
    const advance = granted < waiting ? 0 : this.#spendInAdvance(client, entry, inAdvance, held)
    entry.advanceTokens.record(client, held + advance)
    counters.increment(QuotaCounter.Granted, granted + advance)
    if (granted === waiting) return [granted + advance, 0]
    this.#recordDenial(entry, waiting - granted)
    return [granted, Math.ceil(Math.max(1, this.#leases.computeWait(name)))]
  }

  #spendInAdvance (client: string, { account, advanceTokens }: DeskAccount, inAdvance: number, held: number): number {
    const { overage, windowMilliseconds } = this.#options.bounds()
    const maximum = ADVANCE_FRACTION * overage * this.#leases.rate(account.name) * windowMilliseconds / 1_000
    const room = Math.floor(maximum - advanceTokens.sumOthers(client) - held)
    const amount = Math.min(inAdvance, room, Math.floor(this.#leases.available(account.name) * AVAILABLE_FRACTION))
    return amount <= 0 ? 0 : this.#leases.spendUpTo(account.name, amount)
  }

  #recordDenial (entry: DeskAccount, count: number): void {
    const { counters, log } = this.#options
    counters.increment(QuotaCounter.Denied, count)
    entry.deniedCount += count
    const now = performance.now()
    if (now - entry.loggedAt < LOG_INTERVAL_MILLISECONDS) return
    log.warn('quota-denied', { step: Step.Quota, account: entry.account.name, denied: entry.deniedCount, limit: entry.account.requestsPerSecond, rate: Math.round(this.#leases.rate(entry.account.name) * 100) / 100 })
    entry.deniedCount = 0
    entry.loggedAt = now
  }
}

function createDeskAccount (account: GuestAccount): DeskAccount {
  return { account, advanceTokens: new AdvanceTokens(), deniedCount: 0, loggedAt: Number.NEGATIVE_INFINITY }
}
