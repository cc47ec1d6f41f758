import type { ReplicaStorageError } from '../errors/ReplicaStorageError.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { Bootstrap } from './Bootstrap.js'
import { Compaction } from './Compaction.js'
import { Elections } from './Elections.js'
import { AppendHandler } from './AppendHandler.js'
import { forceMembership } from './forceMembership.js'
import { Forwarding } from './Forwarding.js'
import { LeadershipTransfer } from './LeadershipTransfer.js'
import { Leadership } from './Leadership.js'
import { MembershipChanges } from './MembershipChanges.js'
import type { LeadershipTransferRequest } from './messages/LeadershipTransferRequest.js'
import type { AppendRequest } from './messages/AppendRequest.js'
import type { ProposeRequest } from './messages/ProposeRequest.js'
import type { ReconfigureAnswer } from './messages/ReconfigureAnswer.js'
import type { ReconfigureRequest } from './messages/ReconfigureRequest.js'
import type { SnapshotChunkRequest } from './messages/SnapshotChunkRequest.js'
import type { VoteRequest } from './messages/VoteRequest.js'
import type { ProposalAnswer } from './ProposalAnswer.js'
import { ProposalOutcome } from './ProposalOutcome.js'
import { ReconfigureAction } from './ReconfigureAction.js'
import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'
import { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaOptions } from './ReplicaOptions.js'
import { ReplicaRole } from './ReplicaRole.js'
import type { ReplicaStatus } from './ReplicaStatus.js'
import { SnapshotReceiver } from './SnapshotReceiver.js'

const countersByOutcome: Record<ProposalOutcome, ReplicaCounter> = {
  [ProposalOutcome.Committed]: ReplicaCounter.ProposalCommitted,
  [ProposalOutcome.NotAccepted]: ReplicaCounter.ProposalNotAccepted,
  [ProposalOutcome.Unknown]: ReplicaCounter.ProposalUnknown
}

/**
 * One replica of a log replicated by the Raft algorithm: a value is committed once a majority of the voting members holds it.
 * Committed values are applied on every replica in the same order.
 *
 * @typeParam Value - type of the proposed values, JSON
 * @typeParam Result - type of the results of applying a value, JSON
 */
export class ReplicatedLog<Value, Result> {
  readonly #core: ReplicaCore
  readonly #elections: Elections
  readonly #forwarding: Forwarding
  readonly #bootstrap: Bootstrap
  #leadership: Leadership | undefined
  #membershipChanges: MembershipChanges | undefined
  #electionTask: Promise<void> = Promise.resolve()
  #leadershipTransfer: Promise<boolean> | undefined

  /** @param options - folder, transport, state machine, limits and timings of the replica */
  constructor (options: ReplicaOptions<Value, Result>) {
    this.#core = new ReplicaCore(options as ReplicaOptions<unknown, unknown>)
    this.#elections = new Elections(this.#core, (grantedBy, requestedAt) => this.#becomeLeader(grantedBy, requestedAt))
    this.#forwarding = new Forwarding(this.#core)
    this.#bootstrap = new Bootstrap(this.#core)
    const compaction = new Compaction(this.#core)
    this.#core.onApplied = () => { compaction.runIfDue() }
    this.#registerHandlers()
  }

  /**
   * Reads the data folder; an empty folder gets a new replica identity.
   *
   * @throws {@link ReplicaStorageError} when a file is missing, corrupt or not writable; the replica then stays stopped
   */
  async open (): Promise<void> {
    const { storage, options } = this.#core
    try {
      const stored = await storage.open(options.makeIdentity)
      this.#core.load(stored)
      if (stored.tornBytes === 0) return
      options.counters.increment(ReplicaCounter.TornBytesTruncated, stored.tornBytes)
      options.log.warn('torn-write-cut', { step: Step.Storage, peer: options.folder, bytes: stored.tornBytes })
    } catch (error) {
      this.#core.stopOnFailure(error as ReplicaStorageError)
      throw error
    }
  }

  /** Starts to take part in elections; calls are answered as soon as {@link open} has finished. */
  start (): void {
    this.#core.lastLeaderContactAt = performance.now()
    this.#core.electionTimerStartedAt = this.#core.lastLeaderContactAt
    this.#electionTask = this.#elections.run()
  }

  /**
   * Transfers the leadership to a follower, if this replica is the leader. To be called before a planned {@link stop}.
   * The leader accepts no proposals from then on, until it is stopped or loses an election.
   *
   * @returns whether another leader took over; resolves within the timing `handoverMilliseconds`
   */
  async handOver (): Promise<boolean> {
    if (this.#core.role !== ReplicaRole.Leader || this.#leadership === undefined) return false
    this.#leadershipTransfer ??= new LeadershipTransfer(this.#core, this.#leadership).run()
    const isTransferred = await this.#leadershipTransfer
    this.#leadershipTransfer = undefined
    return isTransferred
  }

  /** Stops the replica, waits for its writes and closes its files. */
  async stop (): Promise<void> {
    this.#elections.stop()
    this.#core.stepDownTo(ReplicaRole.Stopped)
    await this.#electionTask
    await this.#core.storage.close()
  }

  /** @returns role, term, positions and membership as this replica knows them */
  status (): ReplicaStatus {
    const { identity, group, role, term, leader, commitIndex, appliedIndex, configuration, failure, tail, options } = this.#core
    const hasQuorum = this.#leadership?.acceptsProposals ?? false
    const hearsLeader = hasQuorum || (role === ReplicaRole.Follower && leader !== undefined && this.#core.hasRecentLeaderContact())
    const isCurrent = hearsLeader && this.#core.hasAppliedLeaderCommit()
    return { identity, address: options.address, group, role, term, leader, hasQuorum, hearsLeader, isCurrent, last: tail.last, commitIndex, appliedIndex, configuration, failure: failure?.message }
  }

  /**
   * @param silenceMilliseconds - minimum time without an answer
   * @returns identities of voters that have not answered this leader for that time, the longest silent first; empty at a follower
   */
  listSilent (silenceMilliseconds: number): string[] {
    return this.#leadership?.isActive === true ? this.#leadership.listSilentVoters(silenceMilliseconds) : []
  }

  /**
   * Proposes a value, forwarded to the leader if this replica is not the leader.
   *
   * @param value - a JSON value
   * @returns whether the value was committed, with its result or the reason
   */
  async propose (value: Value): Promise<ProposalAnswer<Result>> {
    return await this.#propose({ forwarded: false, value }) as ProposalAnswer<Result>
  }

  /**
   * Forms a group of empty replicas. The call is idempotent, through any of them.
   *
   * @param addresses - peer addresses of all first members, including this replica
   * @returns the first membership
   */
  async bootstrap (addresses: string[]): Promise<ReplicaConfiguration> {
    const { configuration } = await this.#bootstrap.run(addresses)
    return configuration
  }

  /** Adds the replica at an address as a learner. */
  addLearner (address: string): Promise<ReconfigureAnswer> {
    return this.#reconfigure({ action: ReconfigureAction.AddLearner, forwarded: false, address })
  }

  /** Makes a caught-up learner a voter. */
  promote (identity: string): Promise<ReconfigureAnswer> {
    return this.#reconfigure({ action: ReconfigureAction.Promote, forwarded: false, identity })
  }

  /** Removes a member permanently; its identity cannot join again. */
  remove (identity: string): Promise<ReconfigureAnswer> {
    return this.#reconfigure({ action: ReconfigureAction.Remove, forwarded: false, identity })
  }

  /**
   * Replaces a lost member by a new replica.
   *
   * @param lostIdentity - identity of the lost member
   * @param address - peer address of the new replica, possibly that of the lost one
   */
  replace (lostIdentity: string, address: string): Promise<ReconfigureAnswer> {
    return this.#reconfigure({ action: ReconfigureAction.Replace, forwarded: false, identity: lostIdentity, address })
  }

  /**
   * Makes this replica the only member after a majority of the group is lost permanently.
   *
   * @param identity - identity of this replica, as confirmation
   */
  async forceNewMembership (identity: string): Promise<void> {
    await forceMembership(this.#core, identity)
    this.#core.options.log.warn('membership-forced', { step: Step.Reconfigure, identity, index: this.#core.commitIndex })
  }

  #becomeLeader (grantedBy: string[], requestedAt: number): void {
    this.#leadership = new Leadership(this.#core)
    this.#membershipChanges = new MembershipChanges(this.#core, this.#leadership)
    this.#leadership.start(grantedBy, requestedAt)
  }

  async #propose (request: ProposeRequest): Promise<ProposalAnswer<unknown>> {
    const answer = await this.#proposeOrForward(request)
    this.#core.options.counters.increment(countersByOutcome[answer.outcome])
    return answer
  }

  async #proposeOrForward ({ value, forwarded, receiver }: ProposeRequest): Promise<ProposalAnswer<unknown>> {
    if (receiver !== undefined && receiver !== this.#core.identity) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NotLeader }
    if (this.#core.role === ReplicaRole.Leader && this.#leadership !== undefined) return this.#leadership.propose(value)
    const reason = this.#forwarding.findRefusalReason(forwarded)
    if (reason !== undefined) return { outcome: ProposalOutcome.NotAccepted, reason }
    return this.#forwarding.propose(value)
  }

  async #reconfigure (request: ReconfigureRequest): Promise<ReconfigureAnswer> {
    if (request.action === ReconfigureAction.AdoptGroup) return this.#bootstrap.adoptGroup(request)
    if (this.#core.role === ReplicaRole.Leader && this.#membershipChanges !== undefined) return this.#membershipChanges.run(request)
    const reason = this.#forwarding.findRefusalReason(request.forwarded)
    if (reason !== undefined) return { done: false, reason }
    return this.#forwarding.reconfigure(request)
  }

  #registerHandlers (): void {
    const { registerHandler } = this.#core.options
    const appendHandler = new AppendHandler(this.#core)
    const snapshotReceiver = new SnapshotReceiver(this.#core)
    registerHandler(PeerMethod.RequestVote, (request: VoteRequest) => this.#elections.handleVoteRequest(request))
    registerHandler(PeerMethod.HandOver, (request: LeadershipTransferRequest) => this.#elections.handleLeadershipTransfer(request))
    registerHandler(PeerMethod.AppendEntries, (request: AppendRequest) => appendHandler.handleAppend(request))
    registerHandler(PeerMethod.InstallSnapshot, (request: SnapshotChunkRequest) => snapshotReceiver.handleChunk(request))
    registerHandler(PeerMethod.Propose, (request: ProposeRequest) => this.#propose(request))
    registerHandler(PeerMethod.Reconfigure, (request: ReconfigureRequest) => this.#reconfigure(request))
    registerHandler(PeerMethod.ReplicaStatus, () => this.status())
  }
}
