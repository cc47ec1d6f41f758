import { ReplicaStorageError } from '../errors/ReplicaStorageError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import { AppendHandler } from './AppendHandler.js'
import { Bootstrap } from './Bootstrap.js'
import { Compaction } from './Compaction.js'
import { Elections } from './Elections.js'
import { Forwarding } from './Forwarding.js'
import { Leadership } from './Leadership.js'
import { MembershipChanges } from './MembershipChanges.js'
import { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import type { ReplicaOptions } from './ReplicaOptions.js'
import { SnapshotReceiver } from './SnapshotReceiver.js'

/**
 * The parts of a replica from one opening of its data folder to the next. Nothing that they hold in memory is carried over,
 * because after a failed write it may differ from what the files hold.
 */
export class ReplicaSession {
  readonly core: ReplicaCore
  readonly elections: Elections
  readonly forwarding: Forwarding
  readonly bootstrap: Bootstrap
  readonly appendHandler: AppendHandler
  readonly snapshotReceiver: SnapshotReceiver
  leadership: Leadership | undefined
  membershipChanges: MembershipChanges | undefined
  #electionTask: Promise<void> = Promise.resolve()

  /**
   * @param options - folder, transport, state machine, limits and timings of the replica
   * @param onFailure - called once, when the files cannot be read or written
   */
  constructor (options: ReplicaOptions<unknown, unknown>, onFailure: () => void) {
    this.core = new ReplicaCore(options, onFailure)
    this.elections = new Elections(this.core, (grantedBy, requestedAt) => { this.#becomeLeader(grantedBy, requestedAt) })
    this.forwarding = new Forwarding(this.core)
    this.bootstrap = new Bootstrap(this.core)
    this.appendHandler = new AppendHandler(this.core)
    this.snapshotReceiver = new SnapshotReceiver(this.core)
    const compaction = new Compaction(this.core)
    this.core.onApplied = () => { compaction.runIfDue() }
  }

  /**
   * Reads the data folder; an empty folder gets a new replica identity.
   *
   * @throws {@link ReplicaStorageError} when a file is missing, corrupt, not readable or not writable
   */
  async open (): Promise<void> {
    const { storage, options } = this.core
    try {
      const stored = await storage.open(options.makeIdentity)
      this.core.load(stored)
      if (stored.tornBytes === 0) return
      options.counters.increment(ReplicaCounter.TornBytesTruncated, stored.tornBytes)
      options.log.warn('torn-write-cut', { step: Step.Storage, peer: options.folder, bytes: stored.tornBytes })
    } catch (error) {
      const failure = error instanceof ReplicaStorageError ? error : new ReplicaStorageError(errorTexts.replicaReadFailed(options.folder), options.folder, error)
      this.core.stopOnFailure(failure)
      throw failure
    }
  }

  /** Starts to take part in elections. */
  start (): void {
    this.core.lastLeaderContactAt = performance.now()
    this.core.electionTimerStartedAt = this.core.lastLeaderContactAt
    this.#electionTask = this.elections.run()
  }

  /** Stops taking part, waits for the writes and closes the files. */
  async close (): Promise<void> {
    this.elections.stop()
    this.core.stop()
    await this.#electionTask
    await this.core.storage.close()
  }

  #becomeLeader (grantedBy: string[], requestedAt: number): void {
    this.leadership = new Leadership(this.core)
    this.membershipChanges = new MembershipChanges(this.core, this.leadership)
    this.leadership.start(grantedBy, requestedAt)
  }
}
