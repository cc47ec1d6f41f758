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

/** Holds one host's parts of the budgets of a scope and renews their leases according to its demand. */
export class BudgetLeaseClient {
  readonly #scope: LeaseScope
  readonly #settings: LeaseSettings
  readonly #timings: LeaseTimings
  readonly #localHolder: BudgetLeaseHolder
  readonly #clientId: string
  #budgetsByName = new Map<string, LeasedBudget>()
  #term = ''
  #termStartedAt = performance.now()
  /** Time of the latest answer in this term, on the holder's clock; 0 when there is none. */
  #answeredAt = 0
  /** Time at which that answer was received, on the local clock. */
  #answerReceivedAt = 0
  #holder = ''
  /** Name of the holder if it declared in this term that it reads rows, else empty. */
  #rowReadingHolder = ''
  #lastSerial = 0
  #hasRefusedSpend = false
  #hasReturnedLeases = false

  /** @param localHolder - the local voter and candidate of the scope; it gets the requests when this host is the holder */
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
   * Spends from this host's part of a budget.
   *
   * @param budget - name of the budget; an unknown budget has no limit
   * @param amount - amount to spend, in the units of the budget
   * @returns true when the amount is spent; false when this host's part does not suffice
   */
  trySpend (budget: string, amount: number): boolean {
    const leasedBudget = this.#budgetsByName.get(budget)
    if (leasedBudget === undefined || leasedBudget.trySpend(amount)) return true
    this.#hasRefusedSpend = true
    return false
  }

  /**
   * Spends as much of an amount as this host's part of a budget has, in whole units. It is not counted as demand.
   *
   * @returns the amount spent; 0 for an unknown budget
   */
  spendUpTo (budget: string, amount: number): number {
    const spent = this.#budgetsByName.get(budget)?.spendUpTo(amount) ?? 0
    if (spent < amount) this.#hasRefusedSpend = true
    return spent
  }

  /** @returns amount in whole units that this host may spend now from its part of a budget; 0 for an unknown budget */
  available (budget: string): number {
    return this.#budgetsByName.get(budget)?.available ?? 0
  }

  /** @returns milliseconds until this host's part of a budget has an amount, by its present or its even share; 0 for an unknown budget */
  computeWait (budget: string, amount: number): number {
    return this.#budgetsByName.get(budget)?.computeWait(amount) ?? 0
  }

  /**
   * Adds an amount to the demand that was not counted by {@link trySpend}.
   *
   * @param isRefused - whether it was refused elsewhere before, so that leases should be renewed soon
   */
  recordDemand (budget: string, amount: number, isRefused = true): void {
    this.#budgetsByName.get(budget)?.recordDemand(amount)
    if (isRefused) this.#hasRefusedSpend = true
  }

  /** Records that a spend from a budget was refused by another limit. */
  recordRefusal (budget: string): void {
    this.#budgetsByName.get(budget)?.recordRefusal()
  }

  /** @returns the amount per second that this host may currently spend from a budget; undefined when it has no limit */
  rate (budget: string): number | undefined {
    return this.#budgetsByName.get(budget)?.rate
  }

  /** @returns whether a spend was refused since the last call; the call resets it */
  takeRefusedSpend (): boolean {
    const hasRefused = this.#hasRefusedSpend
    this.#hasRefusedSpend = false
    return hasRefused
  }

  /** Renews all leases and follows a change of the holder or its term. Calls must not overlap. */
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

  /** Returns all leases to the holder and renews none afterwards. */
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

  /** Lends the spare part of the static share for as long as the holder may lease it out plus the time that those leases may run. */
  #lendSpare (budget: LeasedBudget): number {
    if (this.#answeredAt === 0) return 0
    const { lendMilliseconds, leaseMilliseconds } = this.#timings
    const maximumLoanMilliseconds = (lendMilliseconds + leaseMilliseconds * (1 + CLOCK_RATE_MARGIN)) * (1 + CLOCK_RATE_MARGIN)
    const loanEndsAt = this.#answerReceivedAt + maximumLoanMilliseconds
    const now = performance.now()
    // A new holder only renews leases at first, so a loan to it would not be used.
    const isUseful = now - this.#termStartedAt > leaseMilliseconds * (1 + CLOCK_RATE_MARGIN)
    const sparePerSecond = isUseful && loanEndsAt > now ? budget.sparePerSecond : 0
    if (sparePerSecond > 0) budget.lend(sparePerSecond, loanEndsAt)
    return sparePerSecond
  }

  #findAddress (name: string): string | undefined {
    return this.#settings.members().find((member) => member.host.name === name)?.host.peerAddress
  }
}
