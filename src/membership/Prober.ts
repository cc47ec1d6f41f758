import { errorTexts } from '../errors/errorTexts.js'
import { PeerCallError } from '../errors/PeerCallError.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { composeGossip } from './composeGossip.js'
import type { GossipMessage } from './GossipMessage.js'
import type { IndirectProbeAnswer, IndirectProbeRequest } from './IndirectProbeRequest.js'
import type { MembershipSettings } from './MembershipSettings.js'
import type { MembershipView } from './MembershipView.js'
import { pause, type Pause } from '../utils/pause.js'
import { shuffle } from './shuffle.js'

/** Probes the hosts of the local failure domain in random order, directly and through other hosts, and suspects those that do not answer. */
export class Prober {
  readonly #view: MembershipView
  readonly #pause: Pause
  readonly #settings: MembershipSettings
  readonly #callPeer: CallPeer
  readonly #onAnswer: (answer: GossipMessage) => void
  #remainingTargets: string[] = []

  /** @param onAnswer - called with each answer to a direct probe */
  constructor (view: MembershipView, settings: MembershipSettings, onAnswer: (answer: GossipMessage) => void) {
    this.#view = view
    this.#pause = settings.pause ?? pause
    this.#settings = settings
    this.#callPeer = settings.callPeer
    this.#onAnswer = onAnswer
  }

  /** Probes until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#pause(this.#view.computeProbeInterval(), signal)
      const target = signal.aborted ? undefined : this.#takeNextTarget()
      if (target !== undefined) this.#probe(target, signal)
    }
  }

  /** Probes a host on behalf of another host. */
  async probeOnBehalf (request: IndirectProbeRequest): Promise<IndirectProbeAnswer> {
    const answered = await this.#probeDirectly(request.target, request.targetAddress)
    return { answered }
  }

  async #probe (target: Member, signal: AbortSignal): Promise<void> {
    const { probeTimeoutMilliseconds, indirectTimeoutMilliseconds, freezeMilliseconds } = this.#view.timings
    const extraWaitMilliseconds = 2 * this.#view.eventLoopLag.extraWaitMilliseconds
    const startedAt = performance.now()
    const incarnationBefore = this.#view.localMember.incarnation
    if (await this.#probeDirectly(target.host.name, target.host.peerAddress)) return
    this.#settings.counters.increment('membership.probe-failed')
    if (await this.#probeIndirectly(target)) return

    const isOverdue = performance.now() - startedAt > probeTimeoutMilliseconds + indirectTimeoutMilliseconds + freezeMilliseconds + extraWaitMilliseconds
    if (signal.aborted || isOverdue || this.#view.localMember.incarnation !== incarnationBefore) return
    this.#suspect(target.host.name)
  }

  async #probeDirectly (name: string, address: string): Promise<boolean> {
    try {
      const message = composeGossip(this.#view, this.#settings.random, name)
      const answer = await this.#callPeer<GossipMessage>(address, PeerMethod.Probe, message, this.#extendTimeout(this.#view.timings.probeTimeoutMilliseconds))
      this.#view.receive(answer.from, answer.updates, answer.contacts)
      this.#onAnswer(answer)
      return answer.from.host.name === name
    } catch {
      return false
    }
  }

  async #probeIndirectly (target: Member): Promise<boolean> {
    const request: IndirectProbeRequest = { from: this.#view.localMember, target: target.host.name, targetAddress: target.host.peerAddress }
    const attempts = this.#chooseHelpers(target.host.name).map(async (helper) => {
      const answer = await this.#callPeer<IndirectProbeAnswer>(helper.host.peerAddress, PeerMethod.IndirectProbe, request, this.#extendTimeout(this.#view.timings.indirectTimeoutMilliseconds))
      if (!answer.answered) throw new PeerCallError(errorTexts.peerUnreachable(PeerMethod.Probe), target.host.peerAddress, false)
    })
    try {
      await Promise.any(attempts)
      return true
    } catch {
      return false
    }
  }

  /** Extends a timeout by the timer lag, as a process that runs late also reads answers late. */
  #extendTimeout (milliseconds: number): number {
    return milliseconds + this.#view.eventLoopLag.extraWaitMilliseconds
  }

  #chooseHelpers (target: string): Member[] {
    const candidates = this.#view.members().filter((member) => member.state === MemberState.Alive && member.host.name !== target && member.host.name !== this.#view.self.name)
    return shuffle(candidates, this.#settings.random)
      .sort((left, right) => this.#computeDistance(left) - this.#computeDistance(right))
      .slice(0, this.#view.timings.indirectPeers)
  }

  #computeDistance (member: Member): number {
    if (member.host.domain === this.#view.self.domain) return 0
    return member.host.region === this.#view.self.region ? 1 : 2
  }

  #suspect (name: string): void {
    const member = this.#view.table.getMember(name)
    if (member?.state !== MemberState.Alive) return
    this.#settings.counters.increment('membership.suspected')
    this.#settings.log.warn('member-suspected', { step: Step.Probe, peer: name })
    this.#view.applyState(member, MemberState.Suspect)
  }

  #takeNextTarget (): Member | undefined {
    const peersByName = new Map(this.#view.listPeers().map((member) => [member.host.name, member]))
    this.#remainingTargets = this.#remainingTargets.filter((name) => peersByName.has(name))
    if (this.#remainingTargets.length === 0) this.#remainingTargets = shuffle([...peersByName.keys()], this.#settings.random)
    const name = this.#remainingTargets.pop()
    return name === undefined ? undefined : peersByName.get(name)
  }
}
