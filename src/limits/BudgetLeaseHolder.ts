import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import type { Budget } from './Budget.js'
import { chooseHolder } from './chooseHolder.js'
import { VoterPromise } from './VoterPromise.js'
import { LeaseTable } from './LeaseTable.js'
import type { LeaseAnswer, LeaseRequest, LeaseReturn, PromiseAnswer, PromiseRequest } from './LeaseMessages.js'
import type { LeaseScope } from './LeaseScope.js'
import type { LeaseSettings } from './LeaseSettings.js'
import { CLOCK_RATE_MARGIN, type LeaseTimings } from './LeaseTimings.js'

/**
 * Votes for the holder of a scope and, when elected, divides the budgets of the scope among the clients.
 * A term lasts while the promises of a quorum of voters to support no other candidate are valid. At the start of a term
 * the holder only renews the leases that clients report, until all leases that it does not know have ended.
 */
export class BudgetLeaseHolder {
  readonly #scope: LeaseScope
  readonly #settings: LeaseSettings
  readonly #timings: LeaseTimings
  readonly #voterPromise: VoterPromise
  readonly #leaseTable: LeaseTable
  readonly #promisedUntilByVoter = new Map<string, number>()
  #candidacyCount = 0
  #candidacy = ''
  #isElected = false
  /** Hosts that reported their leases in this term. When all hosts have reported, there are no unknown leases to wait for. */
  readonly #reportedConsumers = new Set<string>()
  #electedAt = 0

  constructor (scope: LeaseScope, settings: LeaseSettings, timings: LeaseTimings) {
    this.#scope = scope
    this.#settings = settings
    this.#timings = timings
    this.#voterPromise = new VoterPromise(timings)
    this.#leaseTable = new LeaseTable(scope.consumers.length)
  }

  setBudgets (budgets: readonly Budget[]): void {
    this.#leaseTable.setBudgets(budgets)
  }

  /** Name of the holder as known to this host; empty when it knows none. */
  get holder (): string {
    return this.#checkTerm() ? this.#settings.self : this.#voterPromise.holder
  }

  /** Requests or renews the promises of the voters if this host should be the holder; otherwise resigns. */
  async campaign (): Promise<void> {
    if (chooseHolder(this.#scope, this.#settings.members()) !== this.#settings.self) {
      await this.resign()
      return
    }
    this.#checkTerm()
    if (this.#candidacy === '') this.#candidacy = `${this.#settings.self}:${Date.now()}:${this.#candidacyCount++}`
    const request: PromiseRequest = { scope: this.#scope.name, candidate: this.#settings.self, candidacy: this.#candidacy }
    await Promise.all(this.#scope.voters.map((voter) => this.#requestPromise(voter, request)))
  }

  /** Ends the candidacy, and with it the term, and releases the promises of the voters. */
  async resign (): Promise<void> {
    if (this.#candidacy === '') return
    const candidacy = this.#candidacy
    const voters = [...this.#promisedUntilByVoter.keys()]
    this.#endCandidacy()
    const message: LeaseReturn = { scope: this.#scope.name, client: this.#settings.self, candidacy, leases: false }
    this.handleLeaseReturn(message)
    await Promise.all(voters.map((voter) => this.#sendReturn(voter, message)))
  }

  handlePromiseRequest (request: PromiseRequest): PromiseAnswer {
    return this.#voterPromise.handle(request)
  }

  handleLeaseReturn (message: LeaseReturn): void {
    if (message.candidacy !== '') this.#voterPromise.release(message.candidacy)
    if (message.leases) this.#leaseTable.discardLeases(message.client)
  }

  /** Grants leases to a client. The answer has no grants when this host is not the holder, or the request is outdated or of another term. */
  handleLeaseRequest (request: LeaseRequest): LeaseAnswer {
    if (!this.#checkTerm()) {
      this.#settings.counters.increment('limits.lease-refused.not-holder')
      return { term: '', holder: this.holder, time: 0, grants: [] }
    }
    const now = performance.now()
    const answer: LeaseAnswer = { term: this.#candidacy, holder: this.#settings.self, time: now, grants: [] }
    if (request.term !== answer.term || !this.#leaseTable.acceptSerial(request.client, request.serial)) return answer

    const maximumLeaseMilliseconds = this.#timings.leaseMilliseconds * (1 + CLOCK_RATE_MARGIN)
    this.#reportedConsumers.add(parseHostName(request.client))
    const isRenewOnly = now - this.#electedAt < maximumLeaseMilliseconds && !this.#scope.consumers.every((name) => this.#reportedConsumers.has(name))
    const times = { leaseEndsAt: now + maximumLeaseMilliseconds, lendEndsAt: request.answeredAt + this.#timings.lendMilliseconds }
    const grants = request.demands.map((demand) => this.#leaseTable.grant(request.client, demand, times, isRenewOnly))
    return { ...answer, grants: grants.filter((grant) => grant !== undefined) }
  }

  async #requestPromise (voter: string, request: PromiseRequest): Promise<void> {
    const sentAt = performance.now()
    if (!await this.#callVoter(voter, request)) return
    this.#checkTerm()
    if (request.candidacy !== this.#candidacy) return
    this.#promisedUntilByVoter.set(voter, sentAt + this.#timings.promiseMilliseconds * (1 - CLOCK_RATE_MARGIN))
    if (!this.#isElected && this.#hasQuorum()) this.#beginTerm()
  }

  async #callVoter (voter: string, request: PromiseRequest): Promise<boolean> {
    if (voter === this.#settings.self) return this.#voterPromise.handle(request).promised
    const address = this.#findAddress(voter)
    if (address === undefined) return false
    try {
      const answer = await this.#settings.callPeer<PromiseAnswer>(address, PeerMethod.LeasePromise, request, this.#timings.callTimeoutMilliseconds)
      return answer.promised
    } catch {
      return false
    }
  }

  async #sendReturn (voter: string, message: LeaseReturn): Promise<void> {
    const address = voter === this.#settings.self ? undefined : this.#findAddress(voter)
    if (address === undefined) return
    try {
      await this.#settings.callPeer(address, PeerMethod.LeaseReturn, message, this.#timings.callTimeoutMilliseconds)
    } catch {
      this.#settings.counters.increment('limits.return-failed')
    }
  }

  #beginTerm (): void {
    this.#isElected = true
    this.#electedAt = performance.now()
    this.#reportedConsumers.clear()
    this.#leaseTable.clear()
    this.#settings.counters.increment('limits.holder-elected')
    this.#settings.log.info('lease-holder-elected', { step: Step.Lease, scope: this.#scope.name })
  }

  /**
   * Ends a term that has lost its quorum: a term cannot resume after even a short loss.
   *
   * @returns whether this host is the holder
   */
  #checkTerm (): boolean {
    if (this.#isElected && !this.#hasQuorum()) this.#endCandidacy()
    return this.#isElected
  }

  #endCandidacy (): void {
    this.#isElected = false
    this.#candidacy = ''
    this.#promisedUntilByVoter.clear()
    this.#leaseTable.clear()
  }

  #hasQuorum (): boolean {
    const now = performance.now()
    const promisingVoters = [...this.#promisedUntilByVoter].filter(([, until]) => now < until).map(([voter]) => voter)
    return promisingVoters.includes(this.#settings.self) && this.#scope.isQuorum(new Set(promisingVoters))
  }

  #findAddress (name: string): string | undefined {
    return this.#settings.members().find((member) => member.host.name === name)?.host.peerAddress
  }
}

/** A restarted process has another client id but the same host name; it holds no leases of its previous run. */
function parseHostName (client: string): string {
  return client.slice(0, client.indexOf(':'))
}
