import { ReplicaRefusedError } from '../errors/ReplicaRefusedError.js'
import type { ReplicaStorageError } from '../errors/ReplicaStorageError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import { EntryKind } from './EntryKind.js'
import type { LeadershipHooks } from './LeadershipHooks.js'
import type { LogEntry } from './LogEntry.js'
import type { LogPosition } from './LogPosition.js'
import { LogTail } from './LogTail.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { defaultReplicaLimits, type ReplicaLimits } from './ReplicaLimits.js'
import type { ReplicaOptions } from './ReplicaOptions.js'
import { ReplicaRole } from './ReplicaRole.js'
import { defaultReplicaTimings, type ReplicaTimings } from './ReplicaTimings.js'
import type { Snapshot } from './Snapshot.js'
import { ReplicaStorage } from './storage/ReplicaStorage.js'
import type { StoredReplica } from './storage/StoredReplica.js'

/**
 * Term, log, membership and applied state of one replica, shared by its tasks.
 * Each change takes effect in memory at once; votes and entries are confirmed to other replicas only once they are durable.
 */
export class ReplicaCore {
  readonly options: ReplicaOptions<unknown, unknown>
  readonly timings: ReplicaTimings
  readonly limits: ReplicaLimits
  readonly storage: ReplicaStorage
  identity = ''
  group: string | undefined
  role = ReplicaRole.Stopped
  term = 0
  /** Identity of the leader of this term, if known. */
  leader: string | undefined
  tail = new LogTail()
  commitIndex = 0
  appliedIndex = 0
  /** Highest commit index received from a leader. */
  leaderCommitIndex = 0
  appliedConfiguration: ReplicaConfiguration = { members: [], retired: [] }
  /** Monotonic time of the last message from a leader, or of the opening of the replica, in milliseconds. */
  lastLeaderContactAt = 0
  /** Monotonic time at which the running election timeout began, in milliseconds. */
  electionTimerStartedAt = 0
  failure: ReplicaStorageError | undefined
  leadershipHooks: LeadershipHooks | undefined
  /** Called after entries were applied. */
  onApplied: () => void = () => {}
  #votedFor: string | undefined
  #voteWrite: Promise<void> = Promise.resolve()
  #runningJoin: Promise<void> | undefined
  readonly #onFailure: () => void

  /**
   * @param options - folder, transport, state machine, limits and timings of the replica
   * @param onFailure - called once, when the files cannot be read or written
   */
  constructor (options: ReplicaOptions<unknown, unknown>, onFailure: () => void) {
    this.options = options
    this.#onFailure = onFailure
    this.timings = { ...defaultReplicaTimings, ...options.timings }
    this.limits = { ...defaultReplicaLimits, ...options.limits }
    this.storage = new ReplicaStorage(options.files, options.folder, (error) => this.stopOnFailure(error))
    for (const counter of Object.values(ReplicaCounter)) options.counters.declare(counter)
  }

  /** Latest membership in the log, committed or not. */
  get configuration (): ReplicaConfiguration {
    for (let index = this.tail.last.index; index > this.appliedIndex; index -= 1) {
      const configuration = this.tail.entryAt(index)?.configuration
      if (configuration !== undefined) return configuration
    }
    return this.appliedConfiguration
  }

  get votedFor (): string | undefined {
    return this.#votedFor
  }

  /** Restores identity, term, vote, log and state from the data folder. */
  load (stored: StoredReplica): void {
    this.identity = stored.identity.identity
    this.term = Math.max(stored.vote.term, stored.tail.last.term)
    this.#votedFor = stored.vote.term === this.term ? stored.vote.votedFor : undefined
    this.tail = stored.tail
    this.lastLeaderContactAt = performance.now()
    this.electionTimerStartedAt = this.lastLeaderContactAt
    this.role = ReplicaRole.Empty
    if (stored.snapshot !== undefined) this.restoreSnapshot(stored.snapshot)
  }

  /** Replaces the state machine, the group and the positions in memory by those of a snapshot. */
  restoreSnapshot (snapshot: Snapshot): void {
    this.options.restore(snapshot.state)
    this.group = snapshot.group
    this.commitIndex = snapshot.position.index
    this.appliedIndex = snapshot.position.index
    this.appliedConfiguration = snapshot.configuration
    if (this.role === ReplicaRole.Empty) this.role = ReplicaRole.Follower
  }

  /**
   * Joins a group with its state, received or created at bootstrap; the replica takes part once all of it is durable.
   * @returns whether it joined with this state; false once another join has ended that was running already
   */
  async joinGroup (snapshot: Snapshot, term: number): Promise<boolean> {
    if (this.#runningJoin !== undefined) {
      await this.#runningJoin
      return false
    }
    this.#runningJoin = this.#join(snapshot, term).finally(() => { this.#runningJoin = undefined })
    await this.#runningJoin
    return true
  }

  /** Replaces the applied state by that of a newer snapshot; resolves when it is durable. */
  async installSnapshot (snapshot: Snapshot, file: Buffer): Promise<void> {
    if (snapshot.position.index <= this.commitIndex) return
    this.tail.rebase(snapshot.position)
    this.restoreSnapshot(snapshot)
    const snapshotWrite = this.storage.saveSnapshot(file)
    snapshotWrite.catch(() => {})
    await this.storage.replaceLog(this.tail.base, this.tail.entries, snapshotWrite)
  }

  /** Stops the replica after a failed read or write of its files, until its folder is opened again. */
  stopOnFailure (error: ReplicaStorageError): void {
    const isFirstFailure = this.failure === undefined
    this.failure ??= error
    this.options.counters.increment(ReplicaCounter.StorageFailed)
    this.options.log.error('replica-stopped', { step: error.step, peer: error.peer, reason: error.message, cause: String(error.cause ?? '') })
    this.stop()
    if (isFirstFailure) this.#onFailure()
  }

  /** Ends the leadership, if any, and takes no further part. */
  stop (): void {
    this.stepDownTo(ReplicaRole.Stopped)
  }

  /** Changes the role, and ends the leadership if this replica is the leader. */
  stepDownTo (role: ReplicaRole): void {
    this.role = this.failure === undefined ? role : ReplicaRole.Stopped
    const leadershipHooks = this.leadershipHooks
    this.leadershipHooks = undefined
    leadershipHooks?.onLeadershipEnded()
  }

  /** Moves to a term that is not lower than the current one and follows its leader, if it is known. */
  becomeFollower (term: number, leader?: string): void {
    if (term > this.term) {
      this.term = term
      this.#votedFor = undefined
      this.leader = undefined
      this.#saveVote()
    }
    if (leader !== undefined) this.leader = leader
    if (this.role === ReplicaRole.Leader || this.role === ReplicaRole.Candidate) this.stepDownTo(ReplicaRole.Follower)
  }

  /** Records a message from the leader of a term. */
  recordLeaderContact (term: number, leader: string): void {
    this.becomeFollower(term, leader)
    this.lastLeaderContactAt = performance.now()
    this.electionTimerStartedAt = this.lastLeaderContactAt
  }

  /** Records the commit index of a leader, which may lie beyond this log. */
  recordLeaderCommit (index: number): void {
    this.leaderCommitIndex = Math.max(this.leaderCommitIndex, index)
  }

  /** @returns whether all entries known to be committed are applied, and one of them is of this term */
  hasAppliedLeaderCommit (): boolean {
    return this.appliedIndex >= this.leaderCommitIndex && this.getAppliedPosition().term === this.term
  }

  /** Votes for a candidate in the current term; callers check that no other vote was given in it. */
  voteFor (candidate: string): void {
    this.#votedFor = candidate
    this.#saveVote()
  }

  /** Waits until term and vote are durable. */
  async waitForDurableVote (): Promise<void> {
    await this.#voteWrite
  }

  /** Appends entries, replacing all entries from the first one's index on; resolves when they are durable. */
  append (entries: LogEntry[]): Promise<void> {
    this.tail.append(entries)
    return this.storage.append(entries)
  }

  /** Raises the commit index, at most to the end of this log, and applies the entries up to it. */
  commitTo (index: number): void {
    this.commitIndex = Math.max(this.commitIndex, Math.min(index, this.tail.last.index))
    const previouslyApplied = this.appliedIndex
    while (this.appliedIndex < this.commitIndex) this.#applyNext()
    if (this.appliedIndex === previouslyApplied) return
    this.options.counters.gauge(ReplicaCounter.CommitIndex, this.commitIndex)
    this.onApplied()
  }

  /** @returns index and term of the last applied entry */
  getAppliedPosition (): LogPosition {
    return { index: this.appliedIndex, term: this.tail.termAt(this.appliedIndex) ?? this.tail.base.term }
  }

  /** @returns whether a message from a leader arrived within the minimum election timeout */
  hasRecentLeaderContact (): boolean {
    return performance.now() - this.lastLeaderContactAt < this.timings.minimumElectionMilliseconds
  }

  /** @returns whether this replica is a leader with a quorum, or heard one within the minimum election timeout */
  hasLeader (): boolean {
    return this.role === ReplicaRole.Leader ? this.leadershipHooks?.hasQuorum() === true : this.hasRecentLeaderContact()
  }

  /** @throws {@link ReplicaRefusedError} when the replica stopped */
  requireRunning (caller: string): void {
    if (this.role !== ReplicaRole.Stopped) return
    this.options.counters.increment(ReplicaCounter.CallRefusedStopped)
    throw new ReplicaRefusedError(errorTexts.replicaStopped(this.failure?.message ?? 'stopped'), Step.PeerCall, caller)
  }

  async #join (snapshot: Snapshot, term: number): Promise<void> {
    await this.storage.joinGroup(this.identity, snapshot, { term })
    this.term = term
    this.#votedFor = undefined
    this.tail = new LogTail(snapshot.position)
    this.lastLeaderContactAt = performance.now()
    this.electionTimerStartedAt = this.lastLeaderContactAt
    this.restoreSnapshot(snapshot)
  }

  #applyNext (): void {
    const entry = this.tail.entryAt(this.appliedIndex + 1) as LogEntry
    if (entry.kind === EntryKind.Configuration && entry.configuration !== undefined) this.appliedConfiguration = entry.configuration
    const result = entry.kind === EntryKind.Value ? this.options.apply(entry.value, entry.index) : undefined
    this.appliedIndex = entry.index
    this.leadershipHooks?.onEntryApplied(entry, result)
  }

  #saveVote (): void {
    this.options.counters.gauge(ReplicaCounter.Term, this.term)
    this.#voteWrite = this.storage.saveVote({ term: this.term, votedFor: this.#votedFor })
    this.#voteWrite.catch(() => {})
  }
}
