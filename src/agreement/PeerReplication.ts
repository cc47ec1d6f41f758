import { PeerMethod } from '../types/PeerMethod.js'
import { estimateEntryBytes, takeEntriesWithin } from './estimateEntryBytes.js'
import type { LogEntry } from './LogEntry.js'
import type { AppendReply } from './messages/AppendReply.js'
import type { AppendRequest } from './messages/AppendRequest.js'
import type { PeerProgress } from './PeerProgress.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { SnapshotSender } from './SnapshotSender.js'

/** Maximum number of unanswered heartbeats to one member. */
const MAXIMUM_OPEN_HEARTBEATS = 8

/** Replicates the leader's log to one member, with heartbeats in parallel. */
export class PeerReplication {
  readonly #core: ReplicaCore
  readonly #term: number
  readonly #progress: PeerProgress
  readonly #onConfirmed: () => void
  readonly #snapshotSender: SnapshotSender
  #openHeartbeats = 0

  /**
   * @param core - the replica that is the leader
   * @param progress - replication progress of the member
   * @param onConfirmed - called after the member confirmed entries as durable
   */
  constructor (core: ReplicaCore, progress: PeerProgress, onConfirmed: () => void) {
    this.#core = core
    this.#term = core.term
    this.#progress = progress
    this.#onConfirmed = onConfirmed
    this.#snapshotSender = new SnapshotSender(core, progress)
  }

  /** Runs both tasks until the progress is stopped. */
  async run (): Promise<void> {
    await Promise.all([this.#sendHeartbeats(), this.#sendEntries()])
  }

  async #sendHeartbeats (): Promise<void> {
    while (this.#progress.isActive) {
      if (this.#openHeartbeats < MAXIMUM_OPEN_HEARTBEATS) this.#sendHeartbeat()
      await this.#progress.heartbeatSignal.wait(this.#core.timings.heartbeatMilliseconds)
    }
  }

  async #sendHeartbeat (): Promise<void> {
    this.#openHeartbeats += 1
    const { matchIndex } = this.#progress
    const request = { ...this.#createRequest(matchIndex, []), heartbeat: true }
    try {
      await this.#callMember(request, this.#core.timings.callMilliseconds)
    } catch {
      // The quorum check detects members whose heartbeats stay unanswered.
    } finally {
      this.#openHeartbeats -= 1
    }
  }

  async #sendEntries (): Promise<void> {
    while (this.#progress.isActive) {
      const startedAt = performance.now()
      try {
        await this.#sendNextBatch()
        this.#progress.consecutiveSlowCalls = 0
      } catch {
        this.#progress.recordFailure(startedAt)
        this.#core.options.counters.increment(ReplicaCounter.AppendRetried)
        if (this.#progress.isActive) await this.#progress.entriesSignal.wait(this.#core.timings.heartbeatMilliseconds)
      }
      if (this.#isIdle()) await this.#progress.entriesSignal.wait(this.#core.timings.callMilliseconds)
    }
  }

  #isIdle (): boolean {
    return this.#progress.isActive && this.#progress.matchIndex === this.#core.tail.last.index
  }

  async #sendNextBatch (): Promise<void> {
    const progress = this.#progress
    if (this.#isIdle()) return
    if (progress.nextIndex <= this.#core.tail.base.index) {
      await this.#snapshotSender.send()
      return
    }
    const entries = takeEntriesWithin(this.#core.tail.listFrom(progress.nextIndex), this.#core.limits.batchBytes)
    const bytes = entries.reduce((total, entry) => total + estimateEntryBytes(entry), 0)
    const timeoutMilliseconds = progress.computeTimeout(bytes, this.#core.timings)
    const reply = await this.#callMember(this.#createRequest(progress.nextIndex - 1, entries), timeoutMilliseconds)
    if (!progress.isActive) return
    progress.nextIndex = reply.success ? (reply.held ?? reply.index) + 1 : Math.min(reply.index, progress.nextIndex - 1)
    if (!reply.success) return
    progress.matchIndex = Math.max(progress.matchIndex, reply.index)
    this.#onConfirmed()
  }

  #createRequest (previousIndex: number, entries: LogEntry[]): AppendRequest {
    const core = this.#core
    const index = Math.max(previousIndex, core.tail.base.index)
    return {
      sender: core.identity,
      receiver: this.#progress.member.identity,
      group: core.group ?? '',
      term: this.#term,
      heartbeat: false,
      previous: { index, term: core.tail.termAt(index) ?? 0 },
      entries,
      commitIndex: core.commitIndex
    }
  }

  async #callMember (request: AppendRequest, timeoutMilliseconds: number): Promise<AppendReply> {
    const sentAt = performance.now()
    const { address } = this.#progress.member
    const reply = await this.#core.options.callPeer<AppendReply>(address, PeerMethod.AppendEntries, request, timeoutMilliseconds)
    if (reply.term > this.#core.term) this.#core.becomeFollower(reply.term)
    if (reply.term === this.#term) this.#progress.recordAcknowledgement(sentAt)
    return reply
  }
}
