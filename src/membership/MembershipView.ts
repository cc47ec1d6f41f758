import type { HostDetails } from '../types/HostDetails.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { DomainContacts } from './DomainContacts.js'
import type { DomainContact } from './DomainContact.js'
import { DomainStates } from './DomainStates.js'
import { GossipQueue } from './GossipQueue.js'
import { isRoutingChange } from './isRoutingChange.js'
import { EventLoopLag } from './EventLoopLag.js'
import { RecordComparison, isRunning, MemberTable } from './MemberTable.js'
import type { MembershipTimings } from './MembershipTimings.js'
import { LocalRecord } from './LocalRecord.js'
import { rankByRendezvous } from '../utils/rankByRendezvous.js'

const PROBE_INTERVAL_PER_SQUARE_ROOT_OF_HOSTS_MILLISECONDS = 25
const LOAD_INTERVAL_PER_HOST_PAIR_MILLISECONDS = 2
const STALE_MESSAGES_MILLISECONDS = 100
const MAXIMUM_LOAD_INTERVAL_MILLISECONDS = 1_800_000

/** Told of changes in a {@link MembershipView}. */
export interface ViewListener {
  /** A change that should not wait for the next probe. */
  onUrgentChange (member: Member): void
  /** Something in the view changed. */
  onChange (): void
  /** The own host had to contradict what others believe of it. */
  onRefutation (): void
}

/** One host's view of all hosts: its own record, the table of all, and what it makes of them. */
export class MembershipView {
  readonly self: HostIdentity
  readonly timings: MembershipTimings
  /** How late the own process runs. */
  readonly eventLoopLag = new EventLoopLag()
  readonly contacts = new DomainContacts()
  readonly queue = new GossipQueue()
  readonly table: MemberTable
  /** The other domain in which a change that steers traffic was seen last. */
  lastChangedDomain = ''
  readonly #localRecord: LocalRecord
  readonly #domainStates: DomainStates
  readonly #listener: ViewListener
  readonly #unconfirmedPeers = new Set<string>()
  #stalledAt = -Infinity
  #isPulling = false
  #hasChanged = false
  #cachedMembers: Member[] | undefined

  constructor (self: HostIdentity, timings: MembershipTimings, listener: ViewListener) {
    this.self = self
    this.timings = timings
    this.#listener = listener
    this.#localRecord = new LocalRecord(self)
    this.table = new MemberTable((member, before) => { this.#handleRecordChange(member, before) })
    this.#domainStates = new DomainStates(this.contacts, timings)
  }

  get localMember (): Member {
    return this.#localRecord.member
  }

  /** @returns all hosts as this host judges them, the own one first */
  members (): Member[] {
    this.#cachedMembers ??= [this.localMember, ...this.table.listMembers().filter((member) => member.host.name !== this.self.name).map((member) => this.#assess(member))]
    return this.#cachedMembers
  }

  /** @returns the other hosts of the own domain that are live or suspect */
  listPeers (): Member[] {
    return this.table.listRunningMembers(this.self.domain).filter((member) => member.host.name !== this.self.name)
  }

  /** @returns records of the own domain that changed lately, the latest first */
  listChangesSince (since: number): Member[] {
    return this.table.listDomainMembers(this.self.domain)
      .filter((member) => this.table.getChangedAt(member.host.name) >= since)
      .sort((left, right) => this.table.getChangedAt(right.host.name) - this.table.getChangedAt(left.host.name))
  }

  listRemoteDomains (): string[] {
    return this.table.listDomains().filter((domain) => domain !== this.self.domain)
  }

  /** @returns the hosts of a domain that exchange with other domains, first choice first */
  listDelegates (domain: string): Member[] {
    const aliveMembers = this.table.listDomainMembers(domain).filter((member) => member.state === MemberState.Alive)
    return rankByRendezvous(domain, aliveMembers.map((member) => member.host.name))
      .slice(0, this.timings.delegatesPerDomain)
      .map((name) => this.table.getMember(name)!)
  }

  /** @returns time between probes; longer with many hosts, to bound what a host sends */
  computeProbeInterval (): number {
    return Math.max(this.timings.probeIntervalMilliseconds, Math.sqrt(this.table.size) * PROBE_INTERVAL_PER_SQUARE_ROOT_OF_HOSTS_MILLISECONDS)
  }

  getDomainState (domain: string): MemberState {
    return domain === this.self.domain ? MemberState.Alive : this.#domainStates.getState(domain)
  }

  describeSelf (details: HostDetails): void {
    if (this.#localRecord.updateDetails(details)) this.publishLocalRecord()
  }

  /** Takes the own record as it is now into the table, from where it spreads. */
  publishLocalRecord (): void {
    this.table.apply(this.localMember)
    this.notifyIfChanged()
  }

  /** Drops a host that is gone for long; with the last host of a domain, the domain too. */
  evict (name: string): void {
    const domain = this.table.getMember(name)?.host.domain
    this.table.evict(name)
    this.#unconfirmedPeers.delete(name)
    if (domain !== undefined && this.table.listDomainMembers(domain).length === 0) this.contacts.evict(domain)
    this.#hasChanged = true
  }

  /** Publishes waiting load figures; less often with more hosts, so that their sum stays bounded. */
  publishLoad (): void {
    const intervalMilliseconds = Math.max(this.timings.loadIntervalMilliseconds, this.table.size * this.table.size * LOAD_INTERVAL_PER_HOST_PAIR_MILLISECONDS)
    if (this.#localRecord.publishPending(Math.min(intervalMilliseconds, MAXIMUM_LOAD_INTERVAL_MILLISECONDS))) this.table.apply(this.localMember)
  }

  /** Marks the own host as leaving. */
  leave (): void {
    this.#localRecord.leave()
    this.publishLocalRecord()
  }

  /**
   * Takes in a message.
   *
   * @param from - the sender's own record
   * @param updates - other records that it sent
   * @param contacts - contacts of the sender's domain
   * @returns newer records than those received, for the sender
   */
  receive (from: Member, updates: Member[], contacts: DomainContact[] = []): Member[] {
    this.#recordSender(from.host, contacts)
    const corrections = [from, ...updates].map((member) => this.#applyReceived(member)).filter((member) => member !== undefined)
    this.notifyIfChanged()
    return corrections
  }

  /**
   * Takes in records that a comparison of views brought. Hosts that were unknown here are not passed on:
   * the view from which they come knows them already, and others ask for them as this host did.
   */
  receivePulled (from: Member, updates: Member[]): Member[] {
    this.#isPulling = true
    try {
      return this.receive(from, updates)
    } finally {
      this.#isPulling = false
    }
  }

  /** Believes the hosts of the own domain again after a freeze, as a peer holds the same view of them. */
  confirmPeers (): void {
    if (this.#unconfirmedPeers.size > 0) this.#hasChanged = true
    this.#unconfirmedPeers.clear()
    this.notifyIfChanged()
  }

  /** Distrusts the own view after a freeze, and refutes what others may believe by now. */
  handleStall (): void {
    for (const peer of this.listPeers()) this.#unconfirmedPeers.add(peer.host.name)
    this.#stalledAt = performance.now()
    this.contacts.startGracePeriod(this.timings.domainDeadMilliseconds)
    this.#localRecord.raiseIncarnation()
    this.#hasChanged = true
    this.publishLocalRecord()
  }

  /** Changes what this host believes of another, unless that host has said something newer since. */
  applyState (member: Member, state: MemberState): void {
    this.table.apply({ ...member, state })
    this.notifyIfChanged()
  }

  /** Judges the other domains anew; to be called often. */
  updateDomainStates (): void {
    if (this.#domainStates.update(this.listRemoteDomains(), this.listPeers().length + 1, this.computeProbeInterval(), this.eventLoopLag.extraWaitMilliseconds)) this.#hasChanged = true
    this.notifyIfChanged()
  }

  /** Tells the listener if anything changed since the last call. */
  notifyIfChanged (): void {
    if (!this.#hasChanged) return
    this.#hasChanged = false
    this.#cachedMembers = undefined
    this.#listener.onChange()
  }

  #applyReceived (member: Member): Member | undefined {
    if (member.host.name !== this.self.name) {
      return this.table.apply(member) === RecordComparison.Older ? this.table.getMember(member.host.name) : undefined
    }
    if (this.#localRecord.refute(member)) {
      this.table.apply(this.localMember)
      this.#listener.onRefutation()
    }
    return member.incarnation < this.localMember.incarnation ? this.localMember : undefined
  }

  /** Messages that waited in buffers while the own process was frozen say nothing of who is reachable now. */
  #recordSender (sender: HostIdentity, contacts: DomainContact[]): void {
    if (performance.now() - this.#stalledAt < STALE_MESSAGES_MILLISECONDS) return
    if (this.#unconfirmedPeers.delete(sender.name)) this.#hasChanged = true
    if (sender.domain !== this.self.domain) {
      this.contacts.recordContact(sender.domain)
      return
    }
    for (const contact of contacts.filter((candidate) => candidate.domain !== this.self.domain)) {
      this.contacts.recordContact(contact.domain, contact.ageMilliseconds)
    }
  }

  #handleRecordChange (member: Member, before: Member | undefined): void {
    const { name, domain } = member.host
    const affectsRouting = isRoutingChange(before, member)
    if (affectsRouting && domain !== this.self.domain) this.lastChangedDomain = domain
    this.#hasChanged = true
    if (domain !== this.self.domain && this.contacts.getAgeMilliseconds(domain) === Infinity) this.contacts.recordContact(domain)
    if (before === undefined && this.#isPulling) return
    this.queue.add(name, affectsRouting)
    if (affectsRouting) this.#listener.onUrgentChange(member)
  }

  #assess (member: Member): Member {
    if (!isRunning(member)) return member
    const domainState = this.getDomainState(member.host.domain)
    if (domainState === MemberState.Dead) return { ...member, state: MemberState.Dead }
    const isSuspect = domainState === MemberState.Suspect || this.#unconfirmedPeers.has(member.host.name)
    return isSuspect ? { ...member, state: MemberState.Suspect } : member
  }
}
