import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { selectFittingRecords, MAXIMUM_GOSSIP_BYTES } from './composeGossip.js'
import type { MembershipSettings } from './MembershipSettings.js'
import type { MembershipView } from './MembershipView.js'
import { pause, type Pause } from '../utils/pause.js'
import { shuffle } from './shuffle.js'
import type { Synchronizer } from './Synchronizer.js'
import { Wakeup } from './Wakeup.js'

const MAXIMUM_PUSH_DOMAINS = 8
const PUSH_INTERVAL_MILLISECONDS = 200
const PUSH_DELAY_MILLISECONDS = 5
const ORDER_JITTER_FRACTION = 0.5
const MAXIMUM_WAIT_MILLISECONDS = 3_600_000

/** Exchanges records with the delegates of other failure domains while the local host is a delegate of its own. */
export class DomainExchanger {
  readonly #view: MembershipView
  readonly #pause: Pause
  readonly #settings: MembershipSettings
  readonly #synchronizer: Synchronizer
  readonly #wakeup = new Wakeup()
  readonly #urgentNames = new Set<string>()
  readonly #failedDomains = new Set<string>()
  readonly #exchangedAtByDomain = new Map<string, number>()
  readonly #attemptedAtByDomain = new Map<string, number>()

  constructor (view: MembershipView, settings: MembershipSettings, synchronizer: Synchronizer) {
    this.#view = view
    this.#pause = settings.pause ?? pause
    this.#settings = settings
    this.#synchronizer = synchronizer
  }

  /** Sends a changed record of the local domain to other domains without waiting for the next exchange. */
  push (member: Member): void {
    if (member.host.domain !== this.#view.self.domain) return
    this.#urgentNames.add(member.host.name)
    this.#wakeup.wake()
  }

  /** Exchanges with one domain at a time until the signal is aborted. */
  async runRounds (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { exchangeIntervalMilliseconds, delegatesPerDomain } = this.#view.timings
      const delegateCount = this.#view.listDelegates(this.#view.self.domain).length
      await this.#pause(exchangeIntervalMilliseconds * Math.max(1, delegateCount) / delegatesPerDomain, signal)
      const domain = signal.aborted || this.#findLocalRank() < 0 ? undefined : this.#chooseNextDomain()
      if (domain !== undefined) this.#exchange(domain, this.#listChangesSinceExchange(domain))
    }
  }

  /** Sends urgent changes until the signal is aborted. */
  async runPushes (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wakeup.wait(signal)
      await this.#pause(PUSH_DELAY_MILLISECONDS, signal)
      const changedMembers = [...this.#urgentNames].map((name) => this.#view.table.getMember(name)).filter((member) => member !== undefined)
      this.#urgentNames.clear()
      const domains = signal.aborted ? [] : this.#choosePushDomains()
      for (const domain of domains) this.#exchange(domain, changedMembers)
      if (domains.length > 0) await this.#pause(PUSH_INTERVAL_MILLISECONDS, signal)
    }
  }

  /** Sends the local record to one host in each of a bounded number of domains, before the local host leaves. */
  async announceLeave (): Promise<void> {
    const domains = shuffle(this.#view.listRemoteDomains(), this.#settings.random).slice(0, MAXIMUM_PUSH_DOMAINS)
    await Promise.all(domains.map((domain) => this.#exchange(domain, [this.#view.localMember])))
  }

  async #exchange (domain: string, updates: Member[]): Promise<void> {
    const target = this.#chooseTarget(domain)
    if (target === undefined) return
    const startedAt = performance.now()
    this.#attemptedAtByDomain.set(domain, startedAt)
    try {
      await this.#synchronizer.compare(target.host.peerAddress, { domains: [this.#view.self.domain, domain], complete: false }, updates)
      this.#failedDomains.delete(domain)
      this.#exchangedAtByDomain.set(domain, startedAt)
    } catch {
      this.#failedDomains.add(domain)
      this.#settings.counters.increment('membership.exchange-failed')
    }
  }

  #listChangesSinceExchange (domain: string): Member[] {
    const changes = this.#view.listChangesSince(this.#exchangedAtByDomain.get(domain) ?? Infinity)
    return selectFittingRecords(this.#view, changes, MAXIMUM_GOSSIP_BYTES)
  }

  #chooseTarget (domain: string): Member | undefined {
    const delegates = this.#view.listDelegates(domain)
    const isInContact = this.#view.getDomainState(domain) === MemberState.Alive && !this.#failedDomains.has(domain)
    const candidates = isInContact && delegates.length > 0 ? delegates : this.#view.table.listDomainMembers(domain)
    return candidates[Math.floor(this.#settings.random() * candidates.length)]
  }

  /** Chooses the domain that has had neither a contact with the local domain nor an attempt by this host for the longest time, with some random jitter. */
  #chooseNextDomain (): string | undefined {
    let longestWaitMilliseconds = -1
    let next: string | undefined
    for (const domain of this.#view.listRemoteDomains()) {
      const sinceAttemptMilliseconds = performance.now() - (this.#attemptedAtByDomain.get(domain) ?? -Infinity)
      const jitterFactor = 1 + this.#settings.random() * ORDER_JITTER_FRACTION
      const waitedMilliseconds = Math.min(this.#view.contacts.getAgeMilliseconds(domain), sinceAttemptMilliseconds, MAXIMUM_WAIT_MILLISECONDS) * jitterFactor
      if (waitedMilliseconds > longestWaitMilliseconds) next = domain
      longestWaitMilliseconds = Math.max(longestWaitMilliseconds, waitedMilliseconds)
    }
    return next
  }

  /** Returns all domains when there are few; otherwise only those assigned to this delegate, as many domains are divided among the delegates. */
  #choosePushDomains (): string[] {
    const domains = this.#view.listRemoteDomains().sort()
    const rank = this.#findLocalRank()
    if (rank < 0) return []
    if (domains.length <= MAXIMUM_PUSH_DOMAINS) return domains
    const delegateCount = this.#view.listDelegates(this.#view.self.domain).length
    const assigned = domains.filter((_, index) => index % delegateCount === rank)
    return shuffle(assigned, this.#settings.random).slice(0, MAXIMUM_PUSH_DOMAINS)
  }

  #findLocalRank (): number {
    return this.#view.listDelegates(this.#view.self.domain).findIndex((member) => member.host.name === this.#view.self.name)
  }
}
