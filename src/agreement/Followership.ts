import { checkCall } from './checkCall.js'
import type { LogEntry } from './LogEntry.js'
import type { AppendReply } from './messages/AppendReply.js'
import type { AppendRequest } from './messages/AppendRequest.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { ReplicaRole } from './ReplicaRole.js'
import { pause } from '../utils/pause.js'

/** Takes in what the leader sends. */
export class Followership {
  readonly #core: ReplicaCore
  /** Up to where this log is known to equal that of a term's leader, durable or not. */
  #agreed = { term: 0, index: 0 }
  /** Up to where this log is known to be durable and equal to that of a term's leader. */
  #durable = { term: 0, index: 0 }

  /** @param core - the replica */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /** Answers entries or a heartbeat of the leader. */
  async handleAppend (request: AppendRequest): Promise<AppendReply> {
    const core = this.#core
    checkCall(core, request)
    if (core.role === ReplicaRole.Empty) return { term: core.term, success: false, index: 0 }
    if (request.term < core.term) return { term: core.term, success: false, index: core.tail.last.index + 1 }
    core.hear(request.term, request.sender)
    core.noteLeaderCommit(request.commitIndex)
    const retryAt = this.#mismatch(request)
    if (retryAt !== undefined) return this.#refuse(retryAt)
    return this.#accept(request)
  }

  /** @returns where the leader should try next, undefined when the logs agree before the entries sent */
  #mismatch ({ previous }: AppendRequest): number | undefined {
    const { tail } = this.#core
    if (previous.index <= tail.base.index) return undefined
    const term = tail.termAt(previous.index)
    if (term === undefined) return tail.last.index + 1
    return term === previous.term ? undefined : Math.max(tail.firstOfTermAt(previous.index), this.#core.commitIndex + 1)
  }

  async #refuse (index: number): Promise<AppendReply> {
    this.#core.options.counters.increment(ReplicaCounter.AppendMismatch)
    const reply = { term: this.#core.term, success: false, index }
    await this.#core.voteDurable()
    return reply
  }

  async #accept (request: AppendRequest): Promise<AppendReply> {
    const core = this.#core
    const { term } = core
    const index = request.previous.index + request.entries.length
    const missing = this.#missing(request.entries)
    const written = missing.length === 0 ? undefined : core.append(missing)
    // What a majority holds is committed, also while the own disk has not written it yet.
    core.commitTo(Math.min(request.commitIndex, advance(this.#agreed, term, index)))
    await core.voteDurable()
    if (request.heartbeat) return { term, success: true, index, held: index }
    await this.#waitDurable(written ?? core.storage.drainLog(), term, index)
    return { term, success: true, index: this.#durable.term === term ? Math.min(index, this.#durable.index) : 0, held: index }
  }

  /** A call that waited on for a stalled disk would keep the entries after it from being sent. */
  async #waitDurable (written: Promise<void>, term: number, index: number): Promise<void> {
    const done = new AbortController()
    const durable = written.then(() => { advance(this.#durable, term, index) })
    try {
      await Promise.race([durable, pause(this.#core.timings.heartbeatMilliseconds, done.signal)])
    } finally {
      done.abort()
    }
  }

  /** @returns the entries from the first one that this log does not hold */
  #missing (entries: LogEntry[]): LogEntry[] {
    const { tail } = this.#core
    const first = entries.findIndex((entry) => entry.index > tail.base.index && tail.termAt(entry.index) !== entry.term)
    return first === -1 ? [] : entries.slice(first)
  }
}

/** @returns the highest position of a term that was reached, now that a position is */
function advance (reached: { term: number, index: number }, term: number, index: number): number {
  if (term > reached.term) {
    reached.term = term
    reached.index = 0
  }
  if (term === reached.term) reached.index = Math.max(reached.index, index)
  return reached.index
}
