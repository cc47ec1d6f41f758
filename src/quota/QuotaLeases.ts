import type { Budget } from '../limits/Budget.js'
import { BudgetLeases } from '../limits/BudgetLeases.js'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { PeerHandler, RegisterPeerHandler } from '../transport/PeerHandler.js'
import type { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { SuspensionDetector } from '../utils/SuspensionDetector.js'
import { UNITS_PER_REQUEST } from './createQuotaBudget.js'
import { createQuotaScope, listQuotaMembers, QUOTA_SCOPE } from './createQuotaScope.js'
import { QuotaCounter } from './QuotaCounter.js'

/** Timeout of calls between control hosts: a round trip between regions takes 110 ms, and a busy host takes longer. */
const CALL_TIMEOUT_MILLISECONDS = 400

/** Dependencies of {@link QuotaLeases}. */
export interface QuotaLeasesOptions {
  /** Failure domain of this control host. */
  domain: string
  /** @returns names of all failure domains with a control host */
  listDomains: () => string[]
  /** @returns control hosts that were in contact recently, this one first */
  listControlHosts: () => ControlHost[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  counters: Counters
  log: Log
}

/**
 * This control host's part of the budgets of accounts. It votes, renews leases and sends messages only while there are budgets.
 * After a suspension of the machine it begins anew, like a restarted host: others may have its leases by then.
 */
export class QuotaLeases {
  readonly #options: QuotaLeasesOptions
  readonly #handlersByMethod = new Map<PeerMethod, PeerHandler<object, unknown>>()
  readonly #suspensions = new SuspensionDetector()
  #suspensionCount = 0
  #domains: string[]
  #leases: BudgetLeases
  #budgets: readonly Budget[] = []

  /** @param options - location, other control hosts and transport */
  constructor (options: QuotaLeasesOptions) {
    this.#options = options
    this.#domains = options.listDomains()
    this.#leases = this.#createLeases()
  }

  /** Number of failure domains that share the budgets. */
  get consumerCount (): number {
    return Math.max(1, this.#domains.length)
  }

  /** Whether there are budgets to share. */
  get isActive (): boolean {
    return this.#budgets.length > 0
  }

  /** Whether this host is the member of its domain, so that it may grant tokens. */
  get isMember (): boolean {
    const { domain, listControlHosts } = this.#options
    const controlHosts = listControlHosts()
    return listQuotaMembers(controlHosts).find(({ host }) => host.name === domain)?.host.peerAddress === controlHosts[0]?.peerAddress
  }

  /** Replaces the budgets; without any, nothing runs. */
  setBudgets (createBudgets: (consumerCount: number) => readonly Budget[]): void {
    const domains = this.#options.listDomains()
    const hadBudgets = this.#budgets.length > 0
    const haveDomainsChanged = domains.join() !== this.#domains.join()
    this.#domains = domains
    this.#budgets = createBudgets(this.consumerCount)
    if (hadBudgets && (haveDomainsChanged || this.#budgets.length === 0)) return this.#beginAnew()
    if (haveDomainsChanged) this.#leases = this.#createLeases()
    this.#leases.setBudgets(QUOTA_SCOPE, this.#budgets)
    if (!hadBudgets && this.#budgets.length > 0) this.#leases.start()
  }

  /** Counts requests of an account as demand, whether they got tokens or not. */
  recordDemand (account: string, amount: number): void {
    this.#checkSuspension()
    this.#leases.recordDemand(QUOTA_SCOPE, account, amount * UNITS_PER_REQUEST, false)
  }

  /** @returns number of tokens taken from the account's bucket, at most the amount */
  spendUpTo (account: string, amount: number): number {
    this.#checkSuspension()
    return this.#leases.spendUpTo(QUOTA_SCOPE, account, amount * UNITS_PER_REQUEST) / UNITS_PER_REQUEST
  }

  /** @returns number of tokens in the account's bucket */
  available (account: string): number {
    return this.#leases.available(QUOTA_SCOPE, account) / UNITS_PER_REQUEST
  }

  /** @returns requests per second of the account that this host may currently grant */
  rate (account: string): number {
    return (this.#leases.rate(QUOTA_SCOPE, account) ?? 0) / UNITS_PER_REQUEST
  }

  /** @returns milliseconds until the account's bucket has a token */
  computeWait (account: string): number {
    return this.#leases.computeWait(QUOTA_SCOPE, account, UNITS_PER_REQUEST)
  }

  /** Returns leases and promises to the other control hosts, and stops. */
  async stop (): Promise<void> {
    if (this.#budgets.length === 0) return
    this.#budgets = []
    await this.#leases.leave()
  }

  #createLeases (): BudgetLeases {
    const { domain, listControlHosts, callPeer, counters, log } = this.#options
    return new BudgetLeases({
      self: domain,
      scopes: [createQuotaScope(this.#domains)],
      // A host that is not the member of its domain must not be elected in its name.
      members: () => listQuotaMembers(listControlHosts()).filter(({ host }) => host.name !== domain || this.isMember),
      callPeer,
      registerHandler: (method, handler) => { this.#setHandler(method, handler as unknown as PeerHandler<object, unknown>) },
      timings: { callTimeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS },
      counters,
      log
    })
  }

  /** Handlers of the transport stay registered; they pass calls on to the present leases. */
  #setHandler (method: PeerMethod, handler: PeerHandler<object, unknown>): void {
    if (!this.#handlersByMethod.has(method)) {
      this.#options.registerHandler(method, (parameters: object) => {
        this.#checkSuspension()
        return this.#handlersByMethod.get(method)?.(parameters)
      })
    }
    this.#handlersByMethod.set(method, handler)
  }

  #checkSuspension (): void {
    const { count } = this.#suspensions
    if (count === this.#suspensionCount) return
    this.#suspensionCount = count
    if (this.#budgets.length === 0) return
    this.#options.counters.increment(QuotaCounter.Suspended)
    this.#options.log.warn('quota-suspended', { step: Step.Quota, accounts: this.#budgets.length })
    this.#beginAnew()
  }

  #beginAnew (): void {
    this.#leases.stop()
    this.#leases = this.#createLeases()
    if (this.#budgets.length === 0) return
    this.#leases.setBudgets(QUOTA_SCOPE, this.#budgets)
    this.#leases.start()
  }
}
