import type { HostDetails } from '../types/HostDetails.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { composeGossip } from './composeGossip.js'
import { DomainExchanger } from './DomainExchanger.js'
import type { ExchangeRequest } from './ExchangeRequest.js'
import { StallDetector } from './StallDetector.js'
import type { GossipMessage } from './GossipMessage.js'
import type { IndirectProbeRequest } from './IndirectProbeRequest.js'
import { isRunning } from './MemberTable.js'
import type { Membership } from './Membership.js'
import type { MembershipSettings } from './MembershipSettings.js'
import { DEFAULT_MEMBERSHIP_TIMINGS } from './MembershipTimings.js'
import { MembershipView } from './MembershipView.js'
import { pause } from '../utils/pause.js'
import { PeerFinder } from './PeerFinder.js'
import { Prober } from './Prober.js'
import { shuffle } from './shuffle.js'
import { Synchronizer } from './Synchronizer.js'
import { UrgentGossip } from './UrgentGossip.js'

const MAINTENANCE_INTERVAL_MILLISECONDS = 100
const MAXIMUM_LEAVE_PEERS = 8
const EVICTION_INTERVAL_MILLISECONDS = 5000

/**
 * Membership that uses probes and gossip within a failure domain, and exchanges between a few delegates across domains.
 * The size and rate of its messages are bounded regardless of the number of hosts.
 */
export class GossipMembership implements Membership {
  readonly #settings: MembershipSettings
  readonly #view: MembershipView
  readonly #prober: Prober
  readonly #urgentGossip: UrgentGossip
  readonly #domainExchanger: DomainExchanger
  readonly #peerFinder: PeerFinder
  readonly #synchronizer: Synchronizer
  readonly #listeners = new Set<() => void>()
  readonly #abortController = new AbortController()
  readonly #stallDetector: StallDetector
  #uninterruptedSince = performance.now()
  #evictedAt = performance.now()
  #isStarted = false

  /** @param settings - the local host, its seed addresses, transport, log, counters and timings */
  constructor (settings: MembershipSettings) {
    const timings = { ...DEFAULT_MEMBERSHIP_TIMINGS, ...settings.timings }
    this.#settings = settings
    this.#stallDetector = new StallDetector(timings.freezeMilliseconds)
    this.#view = new MembershipView(settings.self, timings, {
      onUrgentChange: (member) => { this.#sendUrgently(member) },
      onChange: () => { this.#notifyListeners() },
      onRefutation: () => { this.#recordRefutation() }
    })
    this.#synchronizer = new Synchronizer(this.#view, settings)
    this.#peerFinder = new PeerFinder(this.#view, settings, this.#synchronizer)
    this.#prober = new Prober(this.#view, settings, (answer) => { this.#peerFinder.recordDigests(answer) })
    this.#urgentGossip = new UrgentGossip(this.#view, settings)
    this.#domainExchanger = new DomainExchanger(this.#view, settings, this.#synchronizer)
    this.#registerHandlers()
    this.#view.publishLocalRecord()
  }

  members (): Member[] {
    return this.#view.members()
  }

  describeSelf (details: HostDetails): void {
    this.#view.describeSelf(details)
  }

  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  start (): void {
    const { signal } = this.#abortController
    this.#isStarted = true
    this.#stallDetector.check()
    this.#prober.run(signal)
    this.#urgentGossip.run(signal)
    this.#domainExchanger.runRounds(signal)
    this.#domainExchanger.runPushes(signal)
    this.#peerFinder.run(signal)
    this.#runMaintenance(signal)
  }

  async leave (): Promise<void> {
    if (this.#abortController.signal.aborted) return
    this.#view.leave()
    const peers = shuffle(this.#view.listPeers(), this.#settings.random).slice(0, MAXIMUM_LEAVE_PEERS)
    await Promise.all([
      ...peers.map((peer) => this.#urgentGossip.send(peer.host.name, peer.host.peerAddress)),
      this.#domainExchanger.announceLeave()
    ])
    this.stop()
  }

  /** Stops exchanging messages without notifying the other hosts. */
  stop (): void {
    this.#isStarted = false
    this.#abortController.abort()
  }

  #registerHandlers (): void {
    const { registerHandler } = this.#settings
    registerHandler(PeerMethod.Probe, (message: GossipMessage) => this.#handleGossip(message))
    registerHandler(PeerMethod.Heartbeat, (message: GossipMessage) => this.#handleGossip(message))
    registerHandler(PeerMethod.IndirectProbe, (request: IndirectProbeRequest) => this.#prober.probeOnBehalf(request))
    registerHandler(PeerMethod.ExchangeDomains, (request: ExchangeRequest) => {
      this.#checkStall()
      return this.#synchronizer.handle(request)
    })
  }

  #handleGossip (message: GossipMessage): GossipMessage {
    this.#checkStall()
    const corrections = this.#view.receive(message.from, message.updates, message.contacts)
    return composeGossip(this.#view, this.#settings.random, message.from.host.name, corrections)
  }

  async #runMaintenance (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#checkStall()
      this.#declareDeadMembers()
      this.#evictOldMembers()
      this.#view.publishLoad()
      this.#view.updateDomainStates()
      const startedAt = performance.now()
      await (this.#settings.pause ?? pause)(MAINTENANCE_INTERVAL_MILLISECONDS, signal)
      this.#view.eventLoopLag.record(performance.now() - startedAt - MAINTENANCE_INTERVAL_MILLISECONDS)
    }
  }

  #checkStall (): void {
    if (!this.#stallDetector.check() || !this.#isStarted) return
    this.#uninterruptedSince = performance.now()
    this.#settings.counters.increment('membership.freeze-noticed')
    this.#settings.log.warn('freeze-noticed', { step: Step.Probe })
    this.#view.handleStall()
    this.#peerFinder.rejoin()
  }

  #declareDeadMembers (): void {
    const suspicionMilliseconds = this.#view.computeProbeInterval() * this.#view.timings.suspicionProbeIntervals + this.#view.eventLoopLag.extraWaitMilliseconds
    for (const peer of this.#view.listPeers()) {
      const { name } = peer.host
      const suspectSince = Math.max(this.#view.table.getChangedAt(name), this.#uninterruptedSince)
      if (peer.state !== MemberState.Suspect || performance.now() - suspectSince < suspicionMilliseconds) continue
      this.#settings.counters.increment('membership.declared-dead')
      this.#settings.log.warn('member-dead', { step: Step.Probe, peer: name })
      this.#view.applyState(peer, MemberState.Dead)
    }
  }

  #evictOldMembers (): void {
    const { forgetMilliseconds, forgetDomainMilliseconds } = this.#view.timings
    if (performance.now() - this.#evictedAt < EVICTION_INTERVAL_MILLISECONDS) return
    this.#evictedAt = performance.now()
    for (const member of this.#view.table.listMembers()) {
      const { name, domain } = member.host
      const hasEnded = !isRunning(member) && performance.now() - this.#view.table.getChangedAt(name) > forgetMilliseconds
      const isUnreachable = domain !== this.#view.self.domain && this.#view.contacts.getAgeMilliseconds(domain) > forgetDomainMilliseconds
      if (name !== this.#view.self.name && (hasEnded || isUnreachable)) this.#view.evict(name)
    }
  }

  #sendUrgently (member: Member): void {
    this.#urgentGossip.wake()
    this.#domainExchanger.push(member)
  }

  #recordRefutation (): void {
    this.#settings.counters.increment('membership.refuted')
    this.#settings.log.info('suspicion-refuted', { step: Step.Probe, incarnation: this.#view.localMember.incarnation })
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener()
  }
}
