import { Step } from '../types/Step.js'
import { EntryKind } from './EntryKind.js'
import type { LeadershipHooks } from './LeadershipHooks.js'
import type { LogEntry } from './LogEntry.js'
import { PeerProgress } from './PeerProgress.js'
import { PeerReplication } from './PeerReplication.js'
import type { ProposalAnswer } from './ProposalAnswer.js'
import { ProposalOutcome } from './ProposalOutcome.js'
import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'
import { findMember, isVoter, computeMajority, listVoters, type ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaMember } from './ReplicaMember.js'
import { ReplicaRole } from './ReplicaRole.js'
import { Signal } from './tasks/Signal.js'

type SettleProposal = (answer: ProposalAnswer<unknown>) => void

/** The leadership of one replica in one term: replication to the members, open proposals and the leader lease. */
export class Leadership implements LeadershipHooks {
  readonly term: number
  readonly #core: ReplicaCore
  readonly #progressByIdentity = new Map<string, PeerProgress>()
  readonly #openProposals = new Map<number, SettleProposal>()
  readonly #endSignal = new Signal()
  #durableIndex = 0
  #isActive = true
  #acceptsProposals = true

  /** @param core - the replica, just elected */
  constructor (core: ReplicaCore) {
    this.#core = core
    this.term = core.term
  }

  /**
   * Starts the leadership: appends the first entry of the term and starts replication to each member.
   *
   * @param grantedBy - identities that voted for this replica
   * @param requestedAt - monotonic time at which the votes were requested; they count for the lease
   */
  start (grantedBy: string[], requestedAt: number): void {
    this.#core.role = ReplicaRole.Leader
    this.#core.leader = this.#core.identity
    this.#core.leadershipHooks = this
    this.#appendEntry({ kind: EntryKind.NoOp })
    for (const identity of grantedBy) this.#progressByIdentity.get(identity)?.recordAcknowledgement(requestedAt)
    this.#stepDownWhenQuorumLost()
  }

  /** Whether this replica is still the leader of this term. */
  get isActive (): boolean {
    return this.#isActive
  }

  /** @returns whether a majority answered calls sent within the lease time */
  hasQuorum (): boolean {
    return this.#isActive && performance.now() - this.#getMajorityContact() <= this.#core.timings.leaseMilliseconds
  }

  /** Whether the leader has a quorum and does not transfer its leadership. */
  get acceptsProposals (): boolean {
    return this.#acceptsProposals && this.hasQuorum()
  }

  /** Accepts no more proposals in this term: the lease is abandoned, because another leader may be elected within it. */
  refuseProposals (): void {
    this.#acceptsProposals = false
  }

  /** @returns whether another member could be elected */
  hasOtherVoters (): boolean {
    return listVoters(this.#core.configuration).some(({ identity }) => identity !== this.#core.identity)
  }

  /** @returns voters that hold the full log, the most recently contacted first; empty until all of the log is committed */
  listCaughtUpVoters (): ReplicaMember[] {
    const { configuration, commitIndex, tail } = this.#core
    if (commitIndex < tail.last.index) return []
    const getLastContact = ({ identity }: ReplicaMember): number => this.#progressByIdentity.get(identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY
    return listVoters(configuration)
      .filter(({ identity }) => this.#progressByIdentity.get(identity)?.matchIndex === tail.last.index)
      .sort((left, right) => getLastContact(right) - getLastContact(left))
  }

  /** @returns identities of members that have not answered for that time, the longest silent first */
  listSilentMembers (silenceMilliseconds: number): string[] {
    const silentUntil = performance.now() - silenceMilliseconds
    return [...this.#progressByIdentity.values()]
      .filter(({ silentSince }) => silentSince < silentUntil)
      .sort((left, right) => left.acknowledgedAt - right.acknowledgedAt)
      .map(({ member }) => member.identity)
  }

  /** @returns whether an entry of this term is committed */
  hasCommittedInTerm (): boolean {
    return this.#core.tail.termAt(this.#core.commitIndex) === this.term
  }

  /** @returns replication progress of a member, undefined for none with that identity */
  findProgress (identity: string): PeerProgress | undefined {
    return this.#progressByIdentity.get(identity)
  }

  /** Appends a value, and waits until it is committed and applied; refused while the group is forming. */
  async propose (value: unknown): Promise<ProposalAnswer<unknown>> {
    if (this.#core.configuration.isForming === true) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.GroupForming }
    return this.#propose({ kind: EntryKind.Value, value })
  }

  /** Appends a new membership, which takes effect at once, and waits until it is committed. */
  async changeConfiguration (configuration: ReplicaConfiguration): Promise<ProposalAnswer<unknown>> {
    const { tail, commitIndex } = this.#core
    const hasPendingChange = tail.listFrom(commitIndex + 1).some((entry) => entry.kind === EntryKind.Configuration)
    if (hasPendingChange || !this.hasCommittedInTerm()) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.ChangeInProgress }
    return this.#propose({ kind: EntryKind.Configuration, configuration })
  }

  /**
   * Settles the proposal of an applied entry; steps down after a committed membership without this replica. A leader that has
   * just restarted applies older memberships again, which don't count: it may have become a voter after them.
   */
  onEntryApplied (entry: LogEntry, result: unknown): void {
    this.#openProposals.get(entry.index)?.({ outcome: ProposalOutcome.Committed, index: entry.index, result })
    const { configuration, appliedConfiguration, identity } = this.#core
    const isNewest = configuration === appliedConfiguration
    if (entry.kind === EntryKind.Configuration && isNewest && !isVoter(configuration, identity)) this.#core.stepDownTo(ReplicaRole.Follower)
  }

  /** Ends the leadership; open proposals may still be committed by a later leader. */
  onLeadershipEnded (): void {
    this.#isActive = false
    this.#endSignal.notify()
    for (const peer of this.#progressByIdentity.values()) peer.stop()
    for (const settle of [...this.#openProposals.values()]) settle({ outcome: ProposalOutcome.Unknown, reason: ReplicaRefusalReason.LeadershipLost })
    if (this.#core.leader === this.#core.identity) this.#core.leader = undefined
    this.#core.options.counters.increment(ReplicaCounter.LeadershipLost)
    this.#core.options.log.warn('leadership-ended', { step: Step.Election, term: this.term, index: this.#core.commitIndex })
  }

  async #propose (content: Pick<LogEntry, 'kind' | 'value' | 'configuration'>): Promise<ProposalAnswer<unknown>> {
    if (!this.hasQuorum()) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NoQuorum }
    if (!this.#acceptsProposals) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NotLeader }
    if (this.#openProposals.size >= this.#core.limits.openProposals) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.Overloaded }
    return this.#waitForCommit(this.#appendEntry(content).index)
  }

  #waitForCommit (index: number): Promise<ProposalAnswer<unknown>> {
    return new Promise((resolve) => {
      const settle: SettleProposal = (answer) => {
        clearTimeout(timer)
        this.#openProposals.delete(index)
        resolve(answer)
      }
      const timeoutAnswer = { outcome: ProposalOutcome.Unknown, reason: ReplicaRefusalReason.CommitTimeout }
      const timer = setTimeout(() => settle(timeoutAnswer), this.#core.timings.commitMilliseconds)
      this.#openProposals.set(index, settle)
    })
  }

  #appendEntry (content: Pick<LogEntry, 'kind' | 'value' | 'configuration'>): LogEntry {
    const entry: LogEntry = { index: this.#core.tail.last.index + 1, term: this.term, ...content }
    this.#core.append([entry]).then(() => this.#recordDurable(entry.index), () => {})
    if (entry.kind !== EntryKind.Value) this.#updateReplication()
    for (const peer of this.#progressByIdentity.values()) peer.entriesSignal.notify()
    return entry
  }

  #recordDurable (index: number): void {
    this.#durableIndex = Math.max(this.#durableIndex, index)
    this.#advanceCommitIndex()
  }

  /** Commits entries that a majority holds durably, once one of them is of the leader's own term. */
  #advanceCommitIndex (): void {
    const core = this.#core
    if (!this.#isActive) return
    const matchIndexes = this.#listVoterValuesDescending((member) => this.#getMatchIndex(member))
    const index = matchIndexes[computeMajority(core.configuration) - 1] ?? 0
    if (index <= core.commitIndex || core.tail.termAt(index) !== this.term) return
    core.commitTo(index)
    for (const peer of this.#progressByIdentity.values()) peer.heartbeatSignal.notify()
  }

  #listVoterValuesDescending (measure: (member: ReplicaMember) => number): number[] {
    return listVoters(this.#core.configuration).map(measure).sort((left, right) => right - left)
  }

  #getLastContact (member: ReplicaMember): number {
    if (member.identity === this.#core.identity) return performance.now()
    return this.#progressByIdentity.get(member.identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY
  }

  /** @returns monotonic time at which the last call was sent that a majority has answered */
  #getMajorityContact (): number {
    const contacts = this.#listVoterValuesDescending((member) => this.#getLastContact(member))
    return contacts[computeMajority(this.#core.configuration) - 1] ?? Number.NEGATIVE_INFINITY
  }

  #getMatchIndex (member: ReplicaMember): number {
    if (member.identity === this.#core.identity) return this.#durableIndex
    return this.#progressByIdentity.get(member.identity)?.matchIndex ?? 0
  }

  #updateReplication (): void {
    const { configuration, identity, tail } = this.#core
    for (const [peerIdentity, progress] of this.#progressByIdentity) {
      if (findMember(configuration, peerIdentity) !== undefined) continue
      progress.stop()
      this.#progressByIdentity.delete(peerIdentity)
    }
    for (const member of configuration.members) {
      if (member.identity === identity || this.#progressByIdentity.has(member.identity)) continue
      const progress = new PeerProgress(member, tail.last.index)
      this.#progressByIdentity.set(member.identity, progress)
      new PeerReplication(this.#core, progress, () => this.#advanceCommitIndex()).run()
    }
  }

  /**
   * Steps down when no majority answered for the longest election timeout. Without its lease the leader accepts nothing, but as long as
   * its followers hear it, an election would only take longer than their late answers.
   */
  async #stepDownWhenQuorumLost (): Promise<void> {
    const { heartbeatMilliseconds, maximumElectionMilliseconds } = this.#core.timings
    const startedAt = performance.now()
    const isHeard = (): boolean => performance.now() - Math.max(startedAt, this.#getMajorityContact()) <= maximumElectionMilliseconds
    while (this.#isActive && isHeard()) await this.#endSignal.wait(heartbeatMilliseconds)
    if (this.#isActive) this.#core.stepDownTo(ReplicaRole.Follower)
  }
}
