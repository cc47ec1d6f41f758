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
const CONTACTS = 6
const PULLED_RECORDS = 12

type Handler = (parameters: object) => unknown

/** One real host among stand-ins that answer as if they held the same view, for sizes that do not fit one process. */
export class FullSizeHost {
  readonly counters = new Counters()
  readonly membership: GossipMembership
  readonly #handlers = new Map<string, Handler>()
  readonly #members: Member[]
  readonly #byAddress = new Map<string, Member>()
  readonly #shared = new MemberTable(() => {})
  readonly #random: () => number
  readonly #perDomain: number
  bytes = 0
  calls = 0

  /**
   * @param domains - number of failure domains
   * @param perDomain - hosts in each
   */
  constructor (domains: number, perDomain: number) {
    this.#perDomain = perDomain
    const generator = xorshift128plus(SEED)
    this.#random = () => (generator.next() >>> 0) / 0x100000000
    this.#members = Array.from({ length: domains * perDomain }, (_, index) => this.#makeMember(Math.floor(index / perDomain), index % perDomain))
    for (const member of this.#members) this.#byAddress.set(member.host.peerAddress, member)
    for (const member of this.#members.slice(1)) this.#shared.apply(member)
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

  /** @returns whether the host knows all others */
  isFull (): boolean {
    return this.membership.members().length === this.#members.length
  }

  /** A random host of the own domain probes this host. */
  receiveProbe (): void {
    this.#receive(PeerMethod.Probe, this.#compose(this.#members[1 + Math.floor(this.#random() * (this.#perDomain - 1))]!))
  }

  /** A random host of another domain exchanges with this host. */
  receiveExchange (): void {
    const from = this.#members[this.#perDomain + Math.floor(this.#random() * (this.#members.length - this.#perDomain))]!
    const domains = [from.host.domain, this.#members[0]!.host.domain]
    this.#receive(PeerMethod.ExchangeDomains, { from, digests: domains.map((domain) => this.#digest(domain)), complete: false, updates: [], wanted: [] })
  }

  /** A random host changes; the news reaches this host by a probe. */
  receiveChange (): void {
    const index = 1 + Math.floor(this.#random() * (this.#members.length - 1))
    const changed = { ...this.#members[index]!, version: this.#members[index]!.version + 1 }
    this.#members[index] = changed
    this.#byAddress.set(changed.host.peerAddress, changed)
    this.#shared.apply(changed)
    this.#receive(PeerMethod.Probe, { ...this.#compose(this.#members[1]!), updates: [changed] })
  }

  #receive (method: PeerMethod, message: object): void {
    const text = this.#count(JSON.stringify(message))
    this.#count(JSON.stringify(this.#handlers.get(method)!(JSON.parse(text) as object)))
    this.calls += 1
  }

  async #answer<Result> (to: string, method: PeerMethod, parameters: object): Promise<Result> {
    this.#count(JSON.stringify(parameters))
    await new Promise((resolve) => setImmediate(resolve))
    const from = this.#byAddress.get(to)!
    const answer = method === PeerMethod.ExchangeDomains ? this.#compare(from, parameters as ExchangeRequest) : this.#compose(from)
    this.calls += 1
    return JSON.parse(this.#count(JSON.stringify(answer))) as Result
  }

  #compare (from: Member, request: ExchangeRequest): ExchangeAnswer {
    const named = new Map(request.digests.map((digest) => [digest.domain, digest.hash]))
    const domains = request.complete ? this.#shared.listDomains() : [...named.keys()]
    const differing = shuffle(domains, this.#random).find((domain) => this.#digest(domain).hash !== named.get(domain))
    return {
      from,
      updates: request.wanted.slice(0, PULLED_RECORDS).map((name) => this.#shared.getMember(name)!),
      differing: differing === undefined ? [] : [this.#shared.listVersions(differing, this.#random())],
      more: differing !== undefined
    }
  }

  #compose (from: Member): GossipMessage {
    const domains = this.#shared.listDomains().filter((domain) => domain !== from.host.domain)
    const contacts = Array.from({ length: CONTACTS }, () => ({ domain: this.#choose(domains), ageMilliseconds: Math.floor(this.#random() * 500) }))
    return { from, updates: [], digests: [this.#digest(from.host.domain), this.#digest(this.#choose(domains))], contacts }
  }

  #digest (domain: string): DomainDigest {
    this.#shared.apply(this.membership.members()[0]!)
    return { domain, hash: this.#shared.hashDomain(domain) }
  }

  /** The first host of the first domain is the one under test, and a delegate. */
  #makeMember (domain: number, position: number): Member {
    const index = domain === 0 ? this.#swapFirst(position) : position
    const pools = [{ service: `service-${domain}-${index}`, upstreams: 4, slots: 28, freeSlots: 12 }]
    return { host: makeHost(domain, index), state: MemberState.Alive, incarnation: 1_796_375_870_000, version: 3, details: { draining: false, sheetNumber: 5500, pools } }
  }

  #swapFirst (position: number): number {
    const names = Array.from({ length: this.#perDomain }, (_, index) => makeHost(0, index).name)
    const delegate = names.indexOf(rankByRendezvous(makeHost(0, 0).domain, names)[0]!)
    if (position === 0) return delegate
    return position === delegate ? 0 : position
  }

  #choose<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]!
  }

  #count (text: string): string {
    this.bytes += Buffer.byteLength(text)
    return text
  }
}
