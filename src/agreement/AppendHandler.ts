import { checkCall } from './checkCall.js'
import type { LogEntry } from './LogEntry.js'
import type { AppendReply } from './messages/AppendReply.js'
import type { AppendRequest } from './messages/AppendRequest.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { ReplicaRole } from './ReplicaRole.js'
import { pause } from '../utils/pause.js'

/** Handles AppendEntries calls of the leader. */
export class AppendHandler {
  readonly #core: ReplicaCore
  /** Highest index up to which this log matches that of a term's leader, durable or not. */
  #matchedPosition = { term: 0, index: 0 }
  /** Highest index up to which this log is durable and matches that of a term's leader. */
  #durablePosition = { term: 0, index: 0 }

  /** @param core - the replica */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /** Answers a call with entries or a heartbeat. */
  async handleAppend (request: AppendRequest): Promise<AppendReply> {
    const core = this.#core
    checkCall(core, request)
    if (core.role === ReplicaRole.Empty) return { term: core.term, success: false, index: 0 }
    if (request.term < core.term) return { term: core.term, success: false, index: core.tail.last.index + 1 }
    core.recordLeaderContact(request.term, request.sender)
    core.recordLeaderCommit(request.commitIndex)
    const retryIndex = this.#findRetryIndex(request)
    if (retryIndex !== undefined) return this.#refuseMismatch(retryIndex)
    return this.#acceptEntries(request)
  }

  /** @returns index that the leader should try next, undefined when the logs match before the entries sent */
  #findRetryIndex ({ previous }: AppendRequest): number | undefined {
    const { tail } = this.#core
    if (previous.index <= tail.base.index) return undefined
    const term = tail.termAt(previous.index)
    if (term === undefined) return tail.last.index + 1
    return term === previous.term ? undefined : Math.max(tail.findFirstOfTerm(previous.index), this.#core.commitIndex + 1)
  }

  async #refuseMismatch (index: number): Promise<AppendReply> {
    this.#core.options.counters.increment(ReplicaCounter.AppendMismatch)
    const reply = { term: this.#core.term, success: false, index }
    await this.#core.waitForDurableVote()
    return reply
  }

  async #acceptEntries (request: AppendRequest): Promise<AppendReply> {
    const core = this.#core
    const { term } = core
    const index = request.previous.index + request.entries.length
    const missingEntries = this.#listMissing(request.entries)
    const write = missingEntries.length === 0 ? undefined : core.append(missingEntries)
    // The storage reports a failed write; it may fail before the wait for the vote below has ended, so that nothing waits for it yet.
    write?.catch(() => {})
    // An entry that a majority holds is committed, even while the local disk has not written it yet.
    core.commitTo(Math.min(request.commitIndex, advancePosition(this.#matchedPosition, term, index)))
    await core.waitForDurableVote()
    if (request.heartbeat) return { term, success: true, index, held: index }
    await this.#waitUntilDurable(write ?? core.storage.drainLog(), term, index)
    return { term, success: true, index: this.#durablePosition.term === term ? Math.min(index, this.#durablePosition.index) : 0, held: index }
  }

  /** Waits for one heartbeat interval at most: a longer wait for a stalled disk would delay the entries after these. */
  async #waitUntilDurable (write: Promise<void>, term: number, index: number): Promise<void> {
    const timeoutAbort = new AbortController()
    const durable = write.then(() => { advancePosition(this.#durablePosition, term, index) })
    try {
      await Promise.race([durable, pause(this.#core.timings.heartbeatMilliseconds, timeoutAbort.signal)])
    } finally {
      timeoutAbort.abort()
    }
  }

  /** @returns the entries from the first one on that this log does not hold */
  #listMissing (entries: LogEntry[]): LogEntry[] {
    const { tail } = this.#core
    const firstMissing = entries.findIndex((entry) => entry.index > tail.base.index && tail.termAt(entry.index) !== entry.term)
    return firstMissing === -1 ? [] : entries.slice(firstMissing)
  }
}

/** Raises a position to an index reached in the same or a newer term, and returns the resulting index. */
function advancePosition (position: { term: number, index: number }, term: number, index: number): number {
  if (term > position.term) {
    position.term = term
    position.index = 0
  }
  if (term === position.term) position.index = Math.max(position.index, index)
  return position.index
}
