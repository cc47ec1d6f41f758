import { fetchReplicaStatus } from './fetchReplicaStatus.js'
import type { Leadership } from './Leadership.js'
import { MemberRole } from './MemberRole.js'
import type { ReconfigureAnswer } from './messages/ReconfigureAnswer.js'
import type { ReconfigureRequest } from './messages/ReconfigureRequest.js'
import { ProposalOutcome } from './ProposalOutcome.js'
import { ReconfigureAction } from './ReconfigureAction.js'
import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'
import { findMember, listVoters, type ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { SerialQueue } from './tasks/SerialQueue.js'
import { pause } from '../utils/pause.js'

const POLL_MILLISECONDS = 50

/**
 * Executes the operators' membership commands at the leader, one change at a time.
 * Commands are idempotent: a command whose membership is already in effect succeeds.
 */
export class MembershipChanges {
  readonly #core: ReplicaCore
  readonly #leadership: Leadership
  readonly #queue = new SerialQueue()

  /**
   * @param core - the replica that is the leader
   * @param leadership - its current leadership
   */
  constructor (core: ReplicaCore, leadership: Leadership) {
    this.#core = core
    this.#leadership = leadership
  }

  /** Executes a command after all earlier ones. */
  run (request: ReconfigureRequest): Promise<ReconfigureAnswer> {
    return this.#queue.run(async () => {
      const reason = await this.#execute(request)
      return { done: reason === undefined, reason, configuration: this.#core.configuration }
    })
  }

  #execute ({ action, identity = '', address = '' }: ReconfigureRequest): Promise<ReplicaRefusalReason | undefined> {
    if (action === ReconfigureAction.AddLearner) return this.#addLearner(address)
    if (action === ReconfigureAction.Promote) return this.#promote(identity)
    if (action === ReconfigureAction.Remove) return this.#remove(identity)
    if (action === ReconfigureAction.CompleteFormation) return this.#completeFormation()
    return this.#replace(identity, address)
  }

  async #addLearner (address: string): Promise<ReplicaRefusalReason | undefined> {
    const status = await fetchReplicaStatus(this.#core.options.callPeer, address, this.#core.timings.statusMilliseconds)
    if (status === undefined) return ReplicaRefusalReason.MemberUnreachable
    const { members, retired } = this.#core.configuration
    if (retired.includes(status.identity)) return ReplicaRefusalReason.Retired
    if (status.group !== undefined && status.group !== this.#core.group) return ReplicaRefusalReason.MemberOfOtherGroup
    if (members.some((member) => member.identity === status.identity && member.address === address)) return undefined
    const otherMembers = members.filter((member) => member.identity !== status.identity)
    const existing = findMember(this.#core.configuration, status.identity)
    const added = { identity: status.identity, address, role: existing?.role ?? MemberRole.Learner }
    return this.#commitConfiguration({ ...this.#core.configuration, members: [...otherMembers, added] })
  }

  async #promote (identity: string): Promise<ReplicaRefusalReason | undefined> {
    const { members } = this.#core.configuration
    const member = findMember(this.#core.configuration, identity)
    if (member === undefined) return ReplicaRefusalReason.UnknownMember
    if (member.role === MemberRole.Voter) return undefined
    if (!await this.#waitUntilCaughtUp(identity)) return ReplicaRefusalReason.NotCaughtUp
    const promoted = members.map((other) => other.identity === identity ? { ...other, role: MemberRole.Voter } : other)
    return this.#commitConfiguration({ ...this.#core.configuration, members: promoted })
  }

  async #remove (identity: string): Promise<ReplicaRefusalReason | undefined> {
    const { members, retired } = this.#core.configuration
    if (retired.includes(identity)) return undefined
    if (findMember(this.#core.configuration, identity) === undefined) return ReplicaRefusalReason.UnknownMember
    const remaining = { ...this.#core.configuration, members: members.filter((member) => member.identity !== identity), retired: [...retired, identity] }
    if (listVoters(remaining).length === 0) return ReplicaRefusalReason.LastVoter
    return this.#commitConfiguration(remaining)
  }

  async #completeFormation (): Promise<ReplicaRefusalReason | undefined> {
    const { isForming, ...configuration } = this.#core.configuration
    return isForming === true ? this.#commitConfiguration(configuration) : undefined
  }

  /** The new member must catch up before the lost one is removed: if it does not, the voters stay as they are. */
  async #replace (lostIdentity: string, address: string): Promise<ReplicaRefusalReason | undefined> {
    const status = await fetchReplicaStatus(this.#core.options.callPeer, address, this.#core.timings.statusMilliseconds)
    if (status === undefined) return ReplicaRefusalReason.MemberUnreachable
    if (status.identity === lostIdentity) return ReplicaRefusalReason.AddressInUse
    const refusalReason = await this.#addLearner(address)
    if (refusalReason !== undefined) return refusalReason
    if (!await this.#waitUntilCaughtUp(status.identity)) return ReplicaRefusalReason.NotCaughtUp
    return await this.#remove(lostIdentity) ?? this.#promote(status.identity)
  }

  async #commitConfiguration (configuration: ReplicaConfiguration): Promise<ReplicaRefusalReason | undefined> {
    await this.#waitUntil(() => this.#leadership.hasCommittedInTerm())
    const answer = await this.#leadership.changeConfiguration(configuration)
    return answer.outcome === ProposalOutcome.Committed ? undefined : answer.reason
  }

  async #waitUntilCaughtUp (identity: string): Promise<boolean> {
    if (identity === this.#core.identity) return true
    const isCaughtUp = (): boolean => {
      const progress = this.#leadership.findProgress(identity)
      return progress !== undefined && progress.matchIndex >= this.#core.commitIndex && this.#hasRecentContact(progress.acknowledgedAt)
    }
    // Other changes of the group wait behind this one, so a member that is down is not waited for.
    return this.#waitUntil(isCaughtUp, () => this.#isSilent(identity))
  }

  #isSilent (identity: string): boolean {
    const progress = this.#leadership.findProgress(identity)
    return progress !== undefined && performance.now() - progress.silentSince > this.#core.timings.statusMilliseconds
  }

  /** @returns whether the condition became true within the commit timeout, during this leadership, before waiting became pointless */
  async #waitUntil (condition: () => boolean, isPointless: () => boolean = () => false): Promise<boolean> {
    const deadline = performance.now() + this.#core.timings.commitMilliseconds
    while (this.#leadership.isActive && performance.now() < deadline && !isPointless()) {
      if (condition()) return true
      await pause(POLL_MILLISECONDS)
    }
    return false
  }

  #hasRecentContact (acknowledgedAt: number): boolean {
    return performance.now() - acknowledgedAt <= this.#core.timings.leaseMilliseconds
  }
}
