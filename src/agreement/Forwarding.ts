import { PeerCallError } from '../errors/PeerCallError.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { isReplicaSpecific } from './isReplicaSpecific.js'
import type { ProposeRequest } from './messages/ProposeRequest.js'
import type { ReconfigureAnswer } from './messages/ReconfigureAnswer.js'
import type { ReconfigureRequest } from './messages/ReconfigureRequest.js'
import type { ProposalAnswer } from './ProposalAnswer.js'
import { ProposalOutcome } from './ProposalOutcome.js'
import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'
import { findMember } from './ReplicaConfiguration.js'
import type { ReplicaCore } from './ReplicaCore.js'
import type { ReplicaMember } from './ReplicaMember.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { ReplicaRole } from './ReplicaRole.js'
import { pause } from '../utils/pause.js'

const LEADER_POLL_MILLISECONDS = 50

/** Forwards proposals and membership commands from a replica that is not the leader to the leader. */
export class Forwarding {
  readonly #core: ReplicaCore

  /** @param core - the replica */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /** @returns why the replica cannot forward, undefined when it can */
  findRefusalReason (isForwarded: boolean): ReplicaRefusalReason | undefined {
    if (this.#core.role === ReplicaRole.Stopped) return ReplicaRefusalReason.Stopped
    if (this.#core.role === ReplicaRole.Empty) return ReplicaRefusalReason.Empty
    if (isForwarded) return ReplicaRefusalReason.NotLeader
    return this.#findLeader() === undefined ? ReplicaRefusalReason.NoLeader : undefined
  }

  /** Forwards a value to the leader. */
  async propose (value: unknown): Promise<ProposalAnswer<unknown>> {
    const leader = this.#findLeader()
    if (leader === undefined) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NoLeader }
    const request: ProposeRequest = { receiver: leader.identity, forwarded: true, value }
    const answeredAbort = new AbortController()
    try {
      return await Promise.race([this.#sendProposal(leader, request), this.#waitForLeaderChange(leader, answeredAbort.signal)])
    } finally {
      answeredAbort.abort()
    }
  }

  async #sendProposal (leader: ReplicaMember, request: ProposeRequest): Promise<ProposalAnswer<unknown>> {
    const timeoutMilliseconds = this.#core.timings.commitMilliseconds + this.#core.timings.callMilliseconds
    try {
      const answer = await this.#core.options.callPeer<ProposalAnswer<unknown>>(leader.address, PeerMethod.Propose, request, timeoutMilliseconds)
      return isReplicaSpecific(answer.reason) ? { ...answer, reason: ReplicaRefusalReason.NoLeader } : answer
    } catch (error) {
      const isRefused = error instanceof PeerCallError && error.refused
      const outcome = isRefused ? ProposalOutcome.NotAccepted : ProposalOutcome.Unknown
      return { outcome, reason: ReplicaRefusalReason.LeaderUnreachable }
    }
  }

  /** Forwards a membership command to the leader. */
  async reconfigure (request: ReconfigureRequest): Promise<ReconfigureAnswer> {
    const leader = this.#findLeader()
    if (leader === undefined) return { done: false, reason: ReplicaRefusalReason.NoLeader }
    const timeoutMilliseconds = 4 * this.#core.timings.commitMilliseconds
    try {
      return await this.#core.options.callPeer<ReconfigureAnswer>(leader.address, PeerMethod.Reconfigure, { ...request, forwarded: true }, timeoutMilliseconds)
    } catch {
      return { done: false, reason: ReplicaRefusalReason.LeaderUnreachable }
    }
  }

  /** Resolves once the asked replica is no longer the leader; waiting for a silent leader would last until the call times out. */
  async #waitForLeaderChange ({ identity }: ReplicaMember, answeredSignal: AbortSignal): Promise<ProposalAnswer<unknown>> {
    while (!answeredSignal.aborted && this.#core.leader === identity) await pause(LEADER_POLL_MILLISECONDS, answeredSignal)
    if (!answeredSignal.aborted) this.#core.options.counters.increment(ReplicaCounter.ForwardAbandoned)
    return { outcome: ProposalOutcome.Unknown, reason: ReplicaRefusalReason.LeadershipLost }
  }

  #findLeader (): ReplicaMember | undefined {
    const { leader, identity, configuration } = this.#core
    return leader === undefined || leader === identity ? undefined : findMember(configuration, leader)
  }
}
