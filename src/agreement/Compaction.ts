import { Step } from '../types/Step.js'
import { estimateEntryBytes } from './estimateEntryBytes.js'
import type { LogPosition } from './LogPosition.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { encodeSnapshot } from './storage/ReplicaStorage.js'

/** Takes snapshots and discards the log entries that they cover. */
export class Compaction {
  readonly #core: ReplicaCore
  #isRunning = false

  /** @param core - the replica */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /** Takes a snapshot if the log has grown enough since the last one. */
  async runIfDue (): Promise<void> {
    if (this.#isRunning || !this.#isSnapshotDue()) return
    this.#isRunning = true
    try {
      await this.#takeSnapshot()
    } catch {
      // The storage has reported the failure and stopped the replica.
    } finally {
      this.#isRunning = false
    }
  }

  #isSnapshotDue (): boolean {
    const { tail, storage, limits, appliedIndex } = this.#core
    if (appliedIndex - tail.base.index <= limits.keptEntries) return storage.logBytes > limits.snapshotAfterBytes && appliedIndex > tail.base.index
    return storage.logBytes > limits.snapshotAfterBytes || appliedIndex - tail.base.index >= limits.keptEntries + limits.snapshotAfterEntries
  }

  async #takeSnapshot (): Promise<void> {
    const core = this.#core
    const position = core.getAppliedPosition()
    const { group = '', appliedConfiguration: configuration } = core
    const frame = encodeSnapshot({ group, position, configuration, state: core.options.snapshot() })
    await core.storage.saveSnapshot(frame)
    core.options.counters.increment(ReplicaCounter.SnapshotTaken)
    const base = this.#chooseBase(position)
    if (base.index <= core.tail.base.index) return
    core.tail.rebase(base)
    await core.storage.replaceLog(core.tail.base, core.tail.entries)
    core.options.log.info('snapshot-taken', { step: Step.Snapshot, index: position.index, bytes: frame.length })
  }

  /** @returns the position after which the log retains its entries */
  #chooseBase (position: LogPosition): LogPosition {
    const { tail, limits } = this.#core
    let index = position.index
    let bytes = 0
    while (index > tail.base.index && position.index - index < limits.keptEntries) {
      const entry = tail.entryAt(index)
      if (entry === undefined) break
      bytes += estimateEntryBytes(entry)
      if (bytes > limits.keptBytes) break
      index -= 1
    }
    return { index, term: tail.termAt(index) ?? position.term }
  }
}
