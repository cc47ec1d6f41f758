import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { forceMembership } from './forceMembership.js'
import { LeadershipTransfer } from './LeadershipTransfer.js'
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
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaOptions } from './ReplicaOptions.js'
import { ReplicaRole } from './ReplicaRole.js'
import { ReplicaSession } from './ReplicaSession.js'
import type { ReplicaStatus } from './ReplicaStatus.js'
import { Signal } from './tasks/Signal.js'

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
  readonly #options: ReplicaOptions<unknown, unknown>
  readonly #stopSignal = new Signal()
  #session: ReplicaSession
  #isRunning = false
  #isReopening = false
  #reopenTask: Promise<void> = Promise.resolve()
  #leadershipTransfer: Promise<boolean> | undefined

  /** @param options - folder, transport, state machine, limits and timings of the replica */
  constructor (options: ReplicaOptions<Value, Result>) {
    this.#options = options as ReplicaOptions<unknown, unknown>
    this.#session = this.#createSession()
    this.#registerHandlers()
  }

  get #core (): ReplicaCore {
    return this.#session.core
  }

  /**
   * Reads the data folder; an empty folder gets a new replica identity.
   *
   * @throws ReplicaStorageError when a file is missing, corrupt, not readable or not writable; the replica is stopped then
   */
  async open (): Promise<void> {
    await this.#session.open()
  }

  /**
   * Starts to take part in elections; calls are answered as soon as {@link open} has finished. From then on a replica that
   * stopped because its disk failed, in {@link open} or later, opens its folder again until the disk works.
   */
  start (): void {
    this.#isRunning = true
    if (this.#core.failure === undefined) this.#session.start()
    else this.#beginReopening()
  }

  /**
   * Transfers the leadership to a follower, if this replica is the leader. To be called before a planned {@link stop}.
   * The leader accepts no proposals from then on, until it is stopped or loses an election.
   *
   * @returns whether another leader took over; resolves within the timing `handoverMilliseconds`
   */
  async handOver (): Promise<boolean> {
    const { core, leadership } = this.#session
    if (core.role !== ReplicaRole.Leader || leadership === undefined) return false
    this.#leadershipTransfer ??= new LeadershipTransfer(core, leadership).run()
    const isTransferred = await this.#leadershipTransfer
    this.#leadershipTransfer = undefined
    return isTransferred
  }

  /** Stops the replica, waits for its writes and closes its files. */
  async stop (): Promise<void> {
    this.#isRunning = false
    this.#stopSignal.notify()
    await this.#reopenTask
    await this.#session.close()
  }

  /** @returns role, term, positions and membership as this replica knows them */
  status (): ReplicaStatus {
    const { identity, group, role, term, leader, commitIndex, appliedIndex, configuration, appliedConfiguration, failure, tail, options } = this.#core
    const hasQuorum = this.#session.leadership?.acceptsProposals ?? false
    const hearsLeader = hasQuorum || (role === ReplicaRole.Follower && leader !== undefined && this.#core.hasRecentLeaderContact())
    const isCurrent = hearsLeader && this.#core.hasAppliedLeaderCommit()
    return { identity, address: options.address, group, role, term, leader, hasQuorum, hearsLeader, isCurrent, last: tail.last, commitIndex, appliedIndex, configuration, isConfigurationCommitted: configuration === appliedConfiguration, failure: failure?.message, isUnusable: failure?.isTransient === false }
  }

  /**
   * @param silenceMilliseconds - minimum time without an answer
   * @returns identities of members that have not answered this leader for that time, the longest silent first; empty at a follower
   */
  listSilent (silenceMilliseconds: number): string[] {
    const { leadership } = this.#session
    return leadership?.isActive === true ? leadership.listSilentMembers(silenceMilliseconds) : []
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
   * @param neededVoters - number of voters that the group must have had before it accepts values; others join and are promoted until then
   * @returns the first membership
   */
  async bootstrap (addresses: string[], neededVoters = addresses.length): Promise<ReplicaConfiguration> {
    const { configuration } = await this.#session.bootstrap.run(addresses, neededVoters)
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

  /** Lets a group that was bootstrapped with fewer voters than it needs accept values from now on. */
  completeFormation (): Promise<ReconfigureAnswer> {
    return this.#reconfigure({ action: ReconfigureAction.CompleteFormation, forwarded: false })
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

  async #propose (request: ProposeRequest): Promise<ProposalAnswer<unknown>> {
    const answer = await this.#proposeOrForward(request)
    this.#core.options.counters.increment(countersByOutcome[answer.outcome])
    return answer
  }

  async #proposeOrForward ({ value, forwarded, receiver }: ProposeRequest): Promise<ProposalAnswer<unknown>> {
    if (receiver !== undefined && receiver !== this.#core.identity) return { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NotLeader }
    const { core, leadership, forwarding } = this.#session
    if (core.role === ReplicaRole.Leader && leadership !== undefined) return leadership.propose(value)
    const reason = forwarding.findRefusalReason(forwarded)
    if (reason !== undefined) return { outcome: ProposalOutcome.NotAccepted, reason }
    return forwarding.propose(value)
  }

  async #reconfigure (request: ReconfigureRequest): Promise<ReconfigureAnswer> {
    const { core, bootstrap, membershipChanges, forwarding } = this.#session
    if (request.action === ReconfigureAction.AdoptGroup) return bootstrap.adoptGroup(request)
    if (core.role === ReplicaRole.Leader && membershipChanges !== undefined) return membershipChanges.run(request)
    const reason = forwarding.findRefusalReason(request.forwarded)
    if (reason !== undefined) return { done: false, reason }
    return forwarding.reconfigure(request)
  }

  #createSession (): ReplicaSession {
    return new ReplicaSession(this.#options, () => { if (this.#isRunning) this.#beginReopening() })
  }

  #beginReopening (): void {
    if (this.#isReopening) return
    this.#isReopening = true
    this.#reopenTask = this.#reopenUntilWorking()
  }

  /** Opens the folder again until that succeeds, because a disk that is full or refuses writes may take them again. */
  async #reopenUntilWorking (): Promise<void> {
    while (this.#isRunning && this.#core.failure?.isTransient === true) {
      await this.#stopSignal.wait(this.#core.timings.reopenMilliseconds)
      if (this.#isRunning) await this.#reopen()
    }
    this.#isReopening = false
  }

  async #reopen (): Promise<void> {
    await this.#session.close()
    this.#session = this.#createSession()
    try {
      await this.#session.open()
    } catch {
      // The session has logged and counted the failure; the next attempt follows.
      return
    }
    this.#session.start()
    this.#options.log.info('replica-reopened', { step: Step.Storage, peer: this.#options.folder, index: this.#core.tail.last.index })
  }

  #registerHandlers (): void {
    const { registerHandler } = this.#options
    registerHandler(PeerMethod.RequestVote, (request: VoteRequest) => this.#session.elections.handleVoteRequest(request))
    registerHandler(PeerMethod.HandOver, (request: LeadershipTransferRequest) => this.#session.elections.handleLeadershipTransfer(request))
    registerHandler(PeerMethod.AppendEntries, (request: AppendRequest) => this.#session.appendHandler.handleAppend(request))
    registerHandler(PeerMethod.InstallSnapshot, (request: SnapshotChunkRequest) => this.#session.snapshotReceiver.handleChunk(request))
    registerHandler(PeerMethod.Propose, (request: ProposeRequest) => this.#propose(request))
    registerHandler(PeerMethod.Reconfigure, (request: ReconfigureRequest) => this.#reconfigure(request))
    registerHandler(PeerMethod.ReplicaStatus, () => this.status())
  }
}
