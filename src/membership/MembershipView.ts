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

/** Receives the changes of a {@link MembershipView}. */
export interface ViewListener {
  /** Called with a changed record that should be sent before the next probe. */
  onUrgentChange (member: Member): void
  /** Called when the view has changed. */
  onChange (): void
  /** Called when the local host has refuted a record of itself that another host sent. */
  onRefutation (): void
}

/** One host's view of all hosts: its own record, the table of all records, and the states derived from contacts. */
export class MembershipView {
  readonly self: HostIdentity
  readonly timings: MembershipTimings
  /** Timer lag of the local process. */
  readonly eventLoopLag = new EventLoopLag()
  readonly contacts = new DomainContacts()
  readonly queue = new GossipQueue()
  readonly table: MemberTable
  /** The remote domain in which a change that affects routing was last observed. */
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

  /** @returns all hosts with their states as assessed by this host, the local one first */
  members (): Member[] {
    this.#cachedMembers ??= [this.localMember, ...this.table.listMembers().filter((member) => member.host.name !== this.self.name).map((member) => this.#assess(member))]
    return this.#cachedMembers
  }

  /** @returns the other hosts of the local domain that are alive or suspect */
  listPeers (): Member[] {
    return this.table.listRunningMembers(this.self.domain).filter((member) => member.host.name !== this.self.name)
  }

  /** @returns records of the local domain that changed since a time on the monotonic clock, the latest first */
  listChangesSince (since: number): Member[] {
    return this.table.listDomainMembers(this.self.domain)
      .filter((member) => this.table.getChangedAt(member.host.name) >= since)
      .sort((left, right) => this.table.getChangedAt(right.host.name) - this.table.getChangedAt(left.host.name))
  }

  listRemoteDomains (): string[] {
    return this.table.listDomains().filter((domain) => domain !== this.self.domain)
  }

  /** @returns the live hosts of a domain that exchange records with other domains, ranked by rendezvous hashing */
  listDelegates (domain: string): Member[] {
    const aliveMembers = this.table.listDomainMembers(domain).filter((member) => member.state === MemberState.Alive)
    return rankByRendezvous(domain, aliveMembers.map((member) => member.host.name))
      .slice(0, this.timings.delegatesPerDomain)
      .map((name) => this.table.getMember(name)!)
  }

  /** @returns interval between probes in milliseconds; it grows with the number of hosts, to bound the traffic of each */
  computeProbeInterval (): number {
    return Math.max(this.timings.probeIntervalMilliseconds, Math.sqrt(this.table.size) * PROBE_INTERVAL_PER_SQUARE_ROOT_OF_HOSTS_MILLISECONDS)
  }

  getDomainState (domain: string): MemberState {
    return domain === this.self.domain ? MemberState.Alive : this.#domainStates.getState(domain)
  }

  describeSelf (details: HostDetails): void {
    if (this.#localRecord.updateDetails(details)) this.publishLocalRecord()
  }

  /** Applies the current local record to the table, from which it is spread to other hosts. */
  publishLocalRecord (): void {
    this.table.apply(this.localMember)
    this.notifyIfChanged()
  }

  /** Evicts a host, and its domain with the last of its hosts. */
  evict (name: string): void {
    const domain = this.table.getMember(name)?.host.domain
    this.table.evict(name)
    this.#unconfirmedPeers.delete(name)
    if (domain !== undefined && this.table.listDomainMembers(domain).length === 0) this.contacts.evict(domain)
    this.#hasChanged = true
  }

  /** Publishes pending load figures; less often with more hosts, so that the total traffic stays bounded. */
  publishLoad (): void {
    const intervalMilliseconds = Math.max(this.timings.loadIntervalMilliseconds, this.table.size * this.table.size * LOAD_INTERVAL_PER_HOST_PAIR_MILLISECONDS)
    if (this.#localRecord.publishPending(Math.min(intervalMilliseconds, MAXIMUM_LOAD_INTERVAL_MILLISECONDS))) this.table.apply(this.localMember)
  }

  /** Publishes that the local host leaves. */
  leave (): void {
    this.#localRecord.leave()
    this.publishLocalRecord()
  }

  /**
   * Applies the contents of a received message.
   *
   * @param from - the sender's record of itself
   * @param updates - other records in the message
   * @param contacts - contacts of the sender's domain with other domains
   * @returns records that are newer here than those received, to be sent to the sender
   */
  receive (from: Member, updates: Member[], contacts: DomainContact[] = []): Member[] {
    this.#recordSender(from.host, contacts)
    const corrections = [from, ...updates].map((member) => this.#applyReceived(member)).filter((member) => member !== undefined)
    this.notifyIfChanged()
    return corrections
  }

  /**
   * Applies records that were received in a comparison of views. Previously unknown hosts among them are not gossiped:
   * the peer already knows them, and other hosts obtain them by comparisons as well.
   */
  receivePulled (from: Member, updates: Member[]): Member[] {
    this.#isPulling = true
    try {
      return this.receive(from, updates)
    } finally {
      this.#isPulling = false
    }
  }

  /** Ends the suspicion of the hosts of the local domain after a stall, as comparisons with peers have shown no record that the local view lacks. */
  confirmPeers (): void {
    if (this.#unconfirmedPeers.size > 0) this.#hasChanged = true
    this.#unconfirmedPeers.clear()
    this.notifyIfChanged()
  }

  /** Suspects all peers until they are confirmed, after a stall of the local process, and raises the incarnation to refute suspicions by others. */
  handleStall (): void {
    for (const peer of this.listPeers()) this.#unconfirmedPeers.add(peer.host.name)
    this.#stalledAt = performance.now()
    this.contacts.startGracePeriod(this.timings.domainDeadMilliseconds)
    this.#localRecord.raiseIncarnation()
    this.#hasChanged = true
    this.publishLocalRecord()
  }

  /** Applies a new state to a member, unless its record has become newer in the meantime. */
  applyState (member: Member, state: MemberState): void {
    this.table.apply({ ...member, state })
    this.notifyIfChanged()
  }

  /** Updates the states of the other domains. Must be called frequently, as they change with time. */
  updateDomainStates (): void {
    if (this.#domainStates.update(this.listRemoteDomains(), this.listPeers().length + 1, this.computeProbeInterval(), this.eventLoopLag.extraWaitMilliseconds)) this.#hasChanged = true
    this.notifyIfChanged()
  }

  /** Notifies the listener if the view has changed since the last call. */
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

  /** Records contacts, except directly after a stall: messages buffered while the process was stalled do not show that a host is reachable now. */
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
