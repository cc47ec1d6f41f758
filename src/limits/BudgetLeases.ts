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

/** A host's part in sharing budgets: it votes for holders, may be one, and spends under leases. */
export class BudgetLeases {
  readonly #settings: LeaseSettings
  readonly #timings: LeaseTimings
  readonly #rolesByScope = new Map<string, ScopeRoles>()
  readonly #abortController = new AbortController()

  /** @param settings - the scopes, and the connections to other parts */
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

  /** Replaces the budgets of a scope; a scope that this host has no part in is passed over. */
  setBudgets (scope: string, budgets: readonly Budget[]): void {
    this.#rolesByScope.get(scope)?.holder.setBudgets(budgets)
    this.#rolesByScope.get(scope)?.client.setBudgets(budgets)
  }

  /**
   * @param scope - name of the scope
   * @param budget - name of the budget; one that is not known has no limit
   * @param amount - what to spend
   * @returns whether it may be spent; it then counts as spent
   */
  trySpend (scope: string, budget: string, amount: number): boolean {
    return this.#rolesByScope.get(scope)?.client.trySpend(budget, amount) ?? true
  }

  /** Counts an amount of a budget that was refused before it came to be spent, so that leases follow the whole demand. */
  recordDemand (scope: string, budget: string, amount: number): void {
    this.#rolesByScope.get(scope)?.client.recordDemand(budget, amount)
  }

  /** @returns amount per second that this host may spend of a budget now, undefined without limit */
  rate (scope: string, budget: string): number | undefined {
    return this.#rolesByScope.get(scope)?.client.rate(budget)
  }

  /** @returns name of a scope's holder as far as this host knows, empty when it knows none */
  holder (scope: string): string {
    return this.#rolesByScope.get(scope)?.holder.holder ?? ''
  }

  /** Starts taking part. */
  start (): void {
    for (const { scope, holder, client } of this.#rolesByScope.values()) {
      if (!scope.consumers.includes(this.#settings.self)) continue
      this.#runHolder(holder)
      this.#runClient(client, computeRenewInterval(this.#timings, scope.consumers.length))
    }
  }

  /** Gives leases and promises back, then stops. */
  async leave (): Promise<void> {
    this.stop()
    await Promise.all([...this.#rolesByScope.values()].flatMap(({ holder, client }) => [client.returnLeases(), holder.resign()]))
  }

  /** Stops without telling the others. */
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
