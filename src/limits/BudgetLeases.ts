import { pause } from '../utils/pause.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { Budget } from './Budget.js'
import { BudgetLeaseClient } from './BudgetLeaseClient.js'
import { BudgetLeaseHolder } from './BudgetLeaseHolder.js'
import type { LeaseAnswer, LeaseRequest, LeaseReturn, PromiseAnswer, PromiseRequest } from './LeaseMessages.js'
import { packLeaseAnswer, unpackLeaseRequest } from './leaseRows.js'
import type { LeaseScope } from './LeaseScope.js'
import type { LeaseSettings } from './LeaseSettings.js'
import { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from './LeaseTimings.js'
import { computeRenewInterval } from './computeRenewInterval.js'

interface ScopeRoles {
  scope: LeaseScope
  holder: BudgetLeaseHolder
  client: BudgetLeaseClient
}

/** Shares budgets among hosts: the local host votes for the holder of each scope, can be elected itself, and spends from leases. */
export class BudgetLeases {
  readonly #settings: LeaseSettings
  readonly #timings: LeaseTimings
  readonly #rolesByScope = new Map<string, ScopeRoles>()
  readonly #abortController = new AbortController()

  /** @param settings - scopes of the local host, its transport, membership view, log and counters */
  constructor (settings: LeaseSettings) {
    this.#settings = settings
    this.#timings = { ...DEFAULT_LEASE_TIMINGS, ...settings.timings }
    for (const scope of settings.scopes) {
      const holder = new BudgetLeaseHolder(scope, settings, this.#timings)
      const client = new BudgetLeaseClient(scope, settings, this.#timings, holder)
      this.#rolesByScope.set(scope.name, { scope, holder, client })
    }
    this.#registerHandlers()
  }

  /** Replaces the budgets of a scope; ignored for a scope in which this host neither spends nor votes. */
  setBudgets (scope: string, budgets: readonly Budget[]): void {
    this.#rolesByScope.get(scope)?.holder.setBudgets(budgets)
    this.#rolesByScope.get(scope)?.client.setBudgets(budgets)
  }

  /**
   * Spends from the local host's part of a budget.
   *
   * @param scope - name of the scope; an unknown scope has no limits
   * @param budget - name of the budget; an unknown budget has no limit
   * @param amount - amount to spend, in the units of the budget
   * @returns true when the amount is spent; false when the local part of the budget does not suffice
   */
  trySpend (scope: string, budget: string, amount: number): boolean {
    return this.#rolesByScope.get(scope)?.client.trySpend(budget, amount) ?? true
  }

  /**
   * Spends as much of an amount as the local host's part of a budget has, in whole units. The demand is recorded apart from it,
   * see {@link recordDemand}, as an amount may be spent in advance.
   *
   * @returns the amount spent; 0 for an unknown scope or budget
   */
  spendUpTo (scope: string, budget: string, amount: number): number {
    return this.#rolesByScope.get(scope)?.client.spendUpTo(budget, amount) ?? 0
  }

  /** @returns amount in whole units that the local host may spend now from its part of a budget; 0 for an unknown scope or budget */
  available (scope: string, budget: string): number {
    return this.#rolesByScope.get(scope)?.client.available(budget) ?? 0
  }

  /** @returns milliseconds until the local host's part of a budget has an amount, while it has at least its even share */
  computeWait (scope: string, budget: string, amount: number): number {
    return this.#rolesByScope.get(scope)?.client.computeWait(budget, amount) ?? 0
  }

  /**
   * Adds an amount to the demand that was not counted by {@link trySpend}, so that leases follow the full demand.
   *
   * @param isRefused - whether it was refused before, so that leases should be renewed soon
   */
  recordDemand (scope: string, budget: string, amount: number, isRefused = true): void {
    this.#rolesByScope.get(scope)?.client.recordDemand(budget, amount, isRefused)
  }

  /** Records that a spend from a budget was refused by another limit. */
  recordRefusal (scope: string, budget: string): void {
    this.#rolesByScope.get(scope)?.client.recordRefusal(budget)
  }

  /** @returns the amount per second that this host may currently spend from a budget; undefined when it has no limit */
  rate (scope: string, budget: string): number | undefined {
    return this.#rolesByScope.get(scope)?.client.rate(budget)
  }

  /** @returns name of a scope's holder as known to this host; empty when it knows none */
  holder (scope: string): string {
    return this.#rolesByScope.get(scope)?.holder.holder ?? ''
  }

  /** Starts campaigning and renewing leases in the scopes in which the local host spends. */
  start (): void {
    for (const { scope, holder, client } of this.#rolesByScope.values()) {
      if (!scope.consumers.includes(this.#settings.self)) continue
      this.#runHolder(holder)
      this.#runClient(client, computeRenewInterval(this.#timings, scope.consumers.length))
    }
  }

  /** Stops, and returns leases and promises to the other hosts. */
  async leave (): Promise<void> {
    this.stop()
    await Promise.all([...this.#rolesByScope.values()].flatMap(({ holder, client }) => [client.returnLeases(), holder.resign()]))
  }

  /** Stops without notifying the other hosts; its leases and promises end by timeout. */
  stop (): void {
    this.#abortController.abort()
  }

  #registerHandlers (): void {
    const { registerHandler } = this.#settings
    registerHandler(PeerMethod.LeasePromise, (request: PromiseRequest): PromiseAnswer => {
      return this.#rolesByScope.get(request.scope)?.holder.handlePromiseRequest(request) ?? { promised: false }
    })
    registerHandler(PeerMethod.LeaseRequest, (request: LeaseRequest): LeaseAnswer => {
      const answer = this.#rolesByScope.get(request.scope)?.holder.handleLeaseRequest(unpackLeaseRequest(request))
      return answer === undefined ? { term: '', holder: '', time: 0, grants: [] } : packLeaseAnswer(request, answer)
    })
    registerHandler(PeerMethod.LeaseReturn, (message: LeaseReturn) => {
      this.#rolesByScope.get(message.scope)?.holder.handleLeaseReturn(message)
      return {}
    })
  }

  async #runHolder (holder: BudgetLeaseHolder): Promise<void> {
    const { signal } = this.#abortController
    while (!signal.aborted) {
      await holder.campaign()
      await this.#pause(this.#timings.campaignMilliseconds)
    }
  }

  async #runClient (client: BudgetLeaseClient, renewMilliseconds: number): Promise<void> {
    const { signal } = this.#abortController
    while (!signal.aborted) {
      await client.renew()
      let waitedMilliseconds = 0
      do {
        await this.#pause(this.#timings.urgentRenewMilliseconds)
        waitedMilliseconds += this.#timings.urgentRenewMilliseconds
      } while (!signal.aborted && waitedMilliseconds < renewMilliseconds && !client.takeRefusedSpend())
    }
  }

  async #pause (milliseconds: number): Promise<void> {
    await (this.#settings.pause ?? pause)(milliseconds, this.#abortController.signal)
  }
}
