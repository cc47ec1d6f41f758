import type { Member } from '../types/Member.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { composeGossip } from './composeGossip.js'
import type { GossipMessage } from './GossipMessage.js'
import type { MembershipSettings } from './MembershipSettings.js'
import type { MembershipView } from './MembershipView.js'
import { isRunning } from './MemberTable.js'
import { pause, type Pause } from '../utils/pause.js'
import { shuffle } from './shuffle.js'
import { ViewComparison, type Synchronizer } from './Synchronizer.js'

const JOIN_INTERVAL_MILLISECONDS = 200
const REPAIR_INTERVAL_IN_PROBE_INTERVALS = 5
const MAXIMUM_JOIN_CONTACTS = 4
/** Number of consecutive incomplete comparisons without differences after which the join ends; the rest is left to repairs. */
const MAXIMUM_PARTIAL_COMPARISONS = 3

/** Finds hosts at the start, after a stall of the local process and after a partition, and repairs gaps in the view. */
export class PeerFinder {
  readonly #view: MembershipView
  readonly #pause: Pause
  readonly #settings: MembershipSettings
  readonly #synchronizer: Synchronizer
  readonly #peersByDifferingDomain = new Map<string, Member>()
  #hasJoined = false
  #partialCount = 0

  constructor (view: MembershipView, settings: MembershipSettings, synchronizer: Synchronizer) {
    this.#view = view
    this.#pause = settings.pause ?? pause
    this.#settings = settings
    this.#synchronizer = synchronizer
  }

  /** Joins again as at the start, as the local view may be outdated. */
  rejoin (): void {
    this.#hasJoined = false
  }

  /** Compares a peer's digests with the local view and records the differing domains, which {@link run} repairs. */
  recordDigests (message: GossipMessage): void {
    if (message.from.host.domain !== this.#view.self.domain) return
    for (const { domain, hash } of message.digests) {
      if (this.#view.table.hashDomain(domain) !== hash) this.#peersByDifferingDomain.set(domain, message.from)
    }
  }

  /** Finds hosts and repairs the view until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    let repairedAt = -Infinity
    while (!signal.aborted) {
      if (!this.#hasJoined) await this.#join()
      if (performance.now() - repairedAt >= REPAIR_INTERVAL_IN_PROBE_INTERVALS * this.#view.computeProbeInterval()) {
        repairedAt = performance.now()
        this.#contactMissingHosts(1)
        await this.#repair()
      }
      await this.#pause(JOIN_INTERVAL_MILLISECONDS, signal)
    }
  }

  async #join (): Promise<void> {
    if (this.#view.listPeers().length === 0) this.#contactMissingHosts(MAXIMUM_JOIN_CONTACTS)
    const peer = this.#choosePeer()
    if (peer === undefined) return
    const comparison = await this.#compare(peer, this.#view.table.listDomains(), true)
    this.#partialCount = comparison === ViewComparison.Partial ? this.#partialCount + 1 : 0
    const isComplete = comparison === ViewComparison.Equal || comparison === ViewComparison.Ahead
    if (!isComplete && this.#partialCount < MAXIMUM_PARTIAL_COMPARISONS) return
    this.#hasJoined = true
    this.#view.confirmPeers()
  }

  async #repair (): Promise<void> {
    const domains = [...this.#peersByDifferingDomain.keys()]
    const peer = this.#peersByDifferingDomain.get(domains[0]!)
    this.#peersByDifferingDomain.clear()
    if (peer !== undefined) await this.#compare(peer, domains, false)
  }

  async #compare (peer: Member, domains: string[], complete: boolean): Promise<ViewComparison | undefined> {
    try {
      return await this.#synchronizer.compare(peer.host.peerAddress, { domains, complete })
    } catch {
      this.#settings.counters.increment('membership.compare-failed')
      return undefined
    }
  }

  #choosePeer (): Member | undefined {
    const peers = this.#view.listPeers()
    const runningMembers = this.#view.table.listMembers().filter((member) => isRunning(member) && member.host.name !== this.#view.self.name)
    const candidates = peers.length > 0 ? peers : runningMembers
    return candidates[Math.floor(this.#settings.random() * candidates.length)]
  }

  /** Contacts some of the addresses at which a host is expected but none is known to be running. */
  #contactMissingHosts (count: number): void {
    const runningAddresses = new Set(this.#view.table.listMembers().filter(isRunning).map((member) => member.host.peerAddress))
    const endedAddresses = this.#view.table.listDomainMembers(this.#view.self.domain).filter((member) => !isRunning(member)).map((member) => member.host.peerAddress)
    const missingAddresses = [...new Set([...this.#settings.seeds, ...endedAddresses])].filter((address) => !runningAddresses.has(address) && address !== this.#view.self.peerAddress)
    for (const address of shuffle(missingAddresses, this.#settings.random).slice(0, count)) this.#contactAddress(address)
  }

  async #contactAddress (address: string): Promise<void> {
    const known = this.#view.table.listMembers().find((member) => member.host.peerAddress === address)
    try {
      const message = composeGossip(this.#view, this.#settings.random, known?.host.name)
      const answer = await this.#settings.callPeer<GossipMessage>(address, PeerMethod.Probe, message, this.#view.timings.exchangeTimeoutMilliseconds)
      this.#view.receive(answer.from, answer.updates, answer.contacts)
    } catch {
      this.#settings.counters.increment('membership.contact-failed')
    }
  }
}
