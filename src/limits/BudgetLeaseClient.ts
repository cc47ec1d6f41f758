import { PeerMethod } from '../types/PeerMethod.js'
import type { Budget } from './Budget.js'
import type { BudgetLeaseHolder } from './BudgetLeaseHolder.js'
import { chooseHolder } from './chooseHolder.js'
import { LeasedBudget } from './LeasedBudget.js'
import type { LeaseAnswer, LeaseDemand, LeaseRequest, LeaseReturn } from './LeaseMessages.js'
import { packLeaseRequest, unpackLeaseAnswer } from './leaseRows.js'
import type { LeaseScope } from './LeaseScope.js'
import type { LeaseSettings } from './LeaseSettings.js'
import { CLOCK_RATE_MARGIN, type LeaseTimings } from './LeaseTimings.js'

const MAXIMUM_ATTEMPTS = 3

/** One host's parts of the budgets of a scope, with leases that it renews by its demand. */
export class BudgetLeaseClient {
  readonly #scope: LeaseScope
  readonly #settings: LeaseSettings
  readonly #timings: LeaseTimings
  readonly #localHolder: BudgetLeaseHolder
  readonly #clientId: string
  #budgetsByName = new Map<string, LeasedBudget>()
  #term = ''
  #termStartedAt = performance.now()
  /** Time of the latest answer in this term on the holder's clock, and when it arrived on the own one. */
  #answeredAt = 0
  #answerReceivedAt = 0
  #holder = ''
  /** Holder that told in this term that it reads rows. */
  #rowReadingHolder = ''
  #lastSerial = 0
  #hasRefusedSpend = false
  #hasReturnedLeases = false

  /** @param localHolder - the own host's part in choosing and being the holder */
  constructor (scope: LeaseScope, settings: LeaseSettings, timings: LeaseTimings, localHolder: BudgetLeaseHolder) {
    this.#scope = scope
    this.#settings = settings
    this.#timings = timings
    this.#localHolder = localHolder
    this.#clientId = `${settings.self}:${process.pid}:${Date.now()}`
  }

  setBudgets (budgets: readonly Budget[]): void {
    this.#budgetsByName = new Map(budgets.map((budget) => {
      const existing = this.#budgetsByName.get(budget.name)
      existing?.resize(budget)
      return [budget.name, existing ?? new LeasedBudget(budget, this.#scope.consumers.length)]
    }))
  }

  /**
   * Spends of a budget, within this host's part of it.
   *
   * @param budget - name of the budget; one that is not known has no limit
   * @param amount - what to spend
   */
  trySpend (budget: string, amount: number): boolean {
    const leasedBudget = this.#budgetsByName.get(budget)
    if (leasedBudget === undefined || leasedBudget.trySpend(amount)) return true
    this.#hasRefusedSpend = true
    return false
  }

  /** Counts an amount that was refused before it came to be spent. */
  recordDemand (budget: string, amount: number): void {
    this.#budgetsByName.get(budget)?.recordDemand(amount)
    this.#hasRefusedSpend = true
  }

  /** @returns amount per second that this host may spend of a budget now, undefined without limit */
  rate (budget: string): number | undefined {
    return this.#budgetsByName.get(budget)?.rate
  }

  /** @returns whether a spend was refused since the last call */
  takeRefusedSpend (): boolean {
    const hasRefused = this.#hasRefusedSpend
    this.#hasRefusedSpend = false
    return hasRefused
  }

  /** Renews all leases, also with a holder that is new. Must not be called again before it has ended. */
  async renew (): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const askedHolder = this.#holder
      const answer = await this.#requestLeases()
      this.#holder = answer?.holder ?? ''
      const isRedirected = answer?.term === '' && answer.holder !== '' && answer.holder !== askedHolder
      const isOtherTerm = answer !== undefined && answer.term !== '' && answer.term !== this.#term
      if (answer !== undefined && answer.term !== '') this.#recordAnswer(answer)
      if (!isRedirected && !isOtherTerm) return
    }
  }

  /** Gives all leases back. */
  async returnLeases (): Promise<void> {
    this.#hasReturnedLeases = true
    for (const budget of this.#budgetsByName.values()) budget.applyLease(0, -Infinity)
    const message: LeaseReturn = { scope: this.#scope.name, client: this.#clientId, candidacy: '', leases: true }
    this.#localHolder.handleLeaseReturn(message)
    const address = this.#findAddress(this.#holder)
    if (address === undefined || this.#holder === this.#settings.self) return
    try {
      await this.#settings.callPeer(address, PeerMethod.LeaseReturn, message, this.#timings.callTimeoutMilliseconds)
    } catch {
      this.#settings.counters.increment('limits.return-failed')
    }
  }

  #recordAnswer (answer: LeaseAnswer): void {
    if (answer.term !== this.#term) this.#termStartedAt = performance.now()
    this.#term = answer.term
    this.#rowReadingHolder = answer.readsRows === true ? answer.holder : ''
    this.#answeredAt = answer.time
    this.#answerReceivedAt = performance.now()
  }

  async #requestLeases (): Promise<LeaseAnswer | undefined> {
    const demands = this.#listDemands()
    if (demands.length === 0 || this.#hasReturnedLeases) return undefined
    const sentAt = performance.now()
    const answer = await this.#sendRequest({ scope: this.#scope.name, client: this.#clientId, serial: ++this.#lastSerial, term: this.#term, answeredAt: this.#answeredAt, demands })
    if (this.#hasReturnedLeases) return undefined
    if (answer?.term === this.#term && answer.grants.length < demands.length) this.#hasRefusedSpend = true
    for (const grant of answer?.grants ?? []) {
      this.#budgetsByName.get(grant.budget)?.applyLease(grant.amountPerSecond, sentAt + this.#timings.leaseMilliseconds * (1 - CLOCK_RATE_MARGIN))
    }
    return answer
  }

  async #sendRequest (request: LeaseRequest): Promise<LeaseAnswer | undefined> {
    const holder = this.#holder === '' ? chooseHolder(this.#scope, this.#settings.members()) : this.#holder
    if (holder === this.#settings.self) return this.#localHolder.handleLeaseRequest(request)
    const address = holder === undefined ? undefined : this.#findAddress(holder)
    if (address === undefined) return undefined
    const message = holder === this.#rowReadingHolder ? packLeaseRequest(request) : request
    try {
      const answer = await this.#settings.callPeer<LeaseAnswer>(address, PeerMethod.LeaseRequest, message, this.#timings.callTimeoutMilliseconds)
      return unpackLeaseAnswer(message, answer)
    } catch {
      this.#settings.counters.increment('limits.lease-request-failed')
      return undefined
    }
  }

  #listDemands (): LeaseDemand[] {
    return [...this.#budgetsByName].map(([budget, leasedBudget]) => ({
      budget,
      wantedPerSecond: Math.ceil(leasedBudget.wantedPerSecond),
      heldPerSecond: leasedBudget.heldPerSecond,
      lentPerSecond: this.#lendSpare(leasedBudget)
    }))
  }

  /** Lends what can be spared for as long as the holder may lease it out, and its leases may run. */
  #lendSpare (budget: LeasedBudget): number {
    if (this.#answeredAt === 0) return 0
    const { lendMilliseconds, leaseMilliseconds } = this.#timings
    const maximumLoanMilliseconds = (lendMilliseconds + leaseMilliseconds * (1 + CLOCK_RATE_MARGIN)) * (1 + CLOCK_RATE_MARGIN)
    const loanEndsAt = this.#answerReceivedAt + maximumLoanMilliseconds
    const now = performance.now()
    // A new holder leases nothing out yet, so that a loan would be idle.
    const isUseful = now - this.#termStartedAt > leaseMilliseconds * (1 + CLOCK_RATE_MARGIN)
    const sparePerSecond = isUseful && loanEndsAt > now ? budget.sparePerSecond : 0
    if (sparePerSecond > 0) budget.lend(sparePerSecond, loanEndsAt)
    return sparePerSecond
  }

  #findAddress (name: string): string | undefined {
    return this.#settings.members().find((member) => member.host.name === name)?.host.peerAddress
  }
}
