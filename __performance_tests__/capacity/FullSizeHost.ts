import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import type { DomainDigest } from '../../src/membership/DomainDigest.js'
import { GossipMembership } from '../../src/membership/GossipMembership.js'
import type { ExchangeAnswer } from '../../src/membership/ExchangeAnswer.js'
import type { ExchangeRequest } from '../../src/membership/ExchangeRequest.js'
import type { GossipMessage } from '../../src/membership/GossipMessage.js'
import { MemberTable } from '../../src/membership/MemberTable.js'
import { Counters } from '../../src/observe/Counters.js'
import type { Member } from '../../src/types/Member.js'
import { MemberState } from '../../src/types/MemberState.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { rankByRendezvous } from '../../src/utils/rankByRendezvous.js'
import { shuffle } from '../../src/membership/shuffle.js'
import { makeHost } from './makeHost.js'

const SEED = 20261204
/** Contact times in each gossip message. */
const CONTACT_COUNT = 6
/** Records that an exchange answer carries at most. */
const MAXIMUM_PULLED_RECORDS = 12

type Handler = (parameters: object) => unknown

/**
 * One real membership among stand-in hosts that answer as if they had the same view. It allows sizes at which the
 * memberships of all hosts do not fit in one process.
 */
export class FullSizeHost {
  readonly counters = new Counters()
  readonly membership: GossipMembership
  readonly #handlers = new Map<string, Handler>()
  readonly #members: Member[]
  readonly #membersByAddress = new Map<string, Member>()
  readonly #sharedTable = new MemberTable(() => {})
  readonly #random: () => number
  readonly #hostsPerDomain: number
  /** Bytes of JSON bodies sent and received. */
  bytes = 0
  /** Calls made and answered. */
  calls = 0

  /**
   * @param domains - number of failure domains
   * @param hostsPerDomain - number of hosts in each failure domain
   */
  constructor (domains: number, hostsPerDomain: number) {
    this.#hostsPerDomain = hostsPerDomain
    const generator = xorshift128plus(SEED)
    this.#random = () => (generator.next() >>> 0) / 0x100000000
    this.#members = Array.from({ length: domains * hostsPerDomain }, (_, index) => this.#createMember(Math.floor(index / hostsPerDomain), index % hostsPerDomain))
    for (const member of this.#members) this.#membersByAddress.set(member.host.peerAddress, member)
    for (const member of this.#members.slice(1)) this.#sharedTable.apply(member)
    this.membership = new GossipMembership({
      self: this.#members[0]!.host,
      seeds: [this.#members[1]!.host.peerAddress],
      callPeer: async (to, method, parameters) => await this.#answer(to, method, parameters),
      registerHandler: (method, handler) => { this.#handlers.set(method, handler as unknown as Handler) },
      random: this.#random,
      log: { info: () => {}, warn: () => {}, error: () => {} },
      counters: this.counters
    })
  }

  /** @returns whether the host knows all other hosts */
  hasFullView (): boolean {
    return this.membership.members().length === this.#members.length
  }

  /** Delivers a probe from a random host of the same failure domain. */
  receiveProbe (): void {
    this.#receive(PeerMethod.Probe, this.#composeGossip(this.#members[1 + Math.floor(this.#random() * (this.#hostsPerDomain - 1))]!))
  }

  /** Delivers an exchange request from a random host of another failure domain. */
  receiveExchange (): void {
    const from = this.#members[this.#hostsPerDomain + Math.floor(this.#random() * (this.#members.length - this.#hostsPerDomain))]!
    const domains = [from.host.domain, this.#members[0]!.host.domain]
    this.#receive(PeerMethod.ExchangeDomains, { from, digests: domains.map((domain) => this.#computeDigest(domain)), complete: false, updates: [], wanted: [] })
  }

  /** Changes the record of a random host, and delivers the update with a probe. */
  receiveChange (): void {
    const index = 1 + Math.floor(this.#random() * (this.#members.length - 1))
    const changed = { ...this.#members[index]!, version: this.#members[index]!.version + 1 }
    this.#members[index] = changed
    this.#membersByAddress.set(changed.host.peerAddress, changed)
    this.#sharedTable.apply(changed)
    this.#receive(PeerMethod.Probe, { ...this.#composeGossip(this.#members[1]!), updates: [changed] })
  }

  #receive (method: PeerMethod, message: object): void {
    const text = this.#count(JSON.stringify(message))
    this.#count(JSON.stringify(this.#handlers.get(method)!(JSON.parse(text) as object)))
    this.calls += 1
  }

  async #answer<Result> (to: string, method: PeerMethod, parameters: object): Promise<Result> {
    this.#count(JSON.stringify(parameters))
    await new Promise((resolve) => setImmediate(resolve))
    const from = this.#membersByAddress.get(to)!
    const answer = method === PeerMethod.ExchangeDomains ? this.#composeExchangeAnswer(from, parameters as ExchangeRequest) : this.#composeGossip(from)
    this.calls += 1
    return JSON.parse(this.#count(JSON.stringify(answer))) as Result
  }

  #composeExchangeAnswer (from: Member, request: ExchangeRequest): ExchangeAnswer {
    const hashesByDomain = new Map(request.digests.map((digest) => [digest.domain, digest.hash]))
    const domains = request.complete ? this.#sharedTable.listDomains() : [...hashesByDomain.keys()]
    const differingDomain = shuffle(domains, this.#random).find((domain) => this.#computeDigest(domain).hash !== hashesByDomain.get(domain))
    return {
      from,
      updates: request.wanted.slice(0, MAXIMUM_PULLED_RECORDS).map((name) => this.#sharedTable.getMember(name)!),
      differing: differingDomain === undefined ? [] : [this.#sharedTable.listVersions(differingDomain, this.#random())],
      more: differingDomain !== undefined
    }
  }

  #composeGossip (from: Member): GossipMessage {
    const domains = this.#sharedTable.listDomains().filter((domain) => domain !== from.host.domain)
    const contacts = Array.from({ length: CONTACT_COUNT }, () => ({ domain: this.#pickItem(domains), ageMilliseconds: Math.floor(this.#random() * 500) }))
    return { from, updates: [], digests: [this.#computeDigest(from.host.domain), this.#computeDigest(this.#pickItem(domains))], contacts }
  }

  #computeDigest (domain: string): DomainDigest {
    this.#sharedTable.apply(this.membership.members()[0]!)
    return { domain, hash: this.#sharedTable.hashDomain(domain) }
  }

  /** Creates the record of a stand-in host. The first host of the first failure domain is the host under test, and a delegate. */
  #createMember (domain: number, position: number): Member {
    const index = domain === 0 ? this.#swapDelegateFirst(position) : position
    const pools = [{ service: `service-${domain}-${index}`, upstreams: 4, slots: 28, freeSlots: 12 }]
    return { host: makeHost(domain, index), state: MemberState.Alive, incarnation: 1_796_375_870_000, version: 3, details: { draining: false, sheetNumber: 5500, pools } }
  }

  /** Exchanges position 0 with the position of the first delegate. */
  #swapDelegateFirst (position: number): number {
    const names = Array.from({ length: this.#hostsPerDomain }, (_, index) => makeHost(0, index).name)
    const delegate = names.indexOf(rankByRendezvous(makeHost(0, 0).domain, names)[0]!)
    if (position === 0) return delegate
    return position === delegate ? 0 : position
  }

  #pickItem<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]!
  }

  #count (text: string): string {
    this.bytes += Buffer.byteLength(text)
    return text
  }
}
