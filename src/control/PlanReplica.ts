import { randomUUID } from 'node:crypto'
import { computeMajority, listVoters } from '../agreement/ReplicaConfiguration.js'
import { ReplicatedLog } from '../agreement/ReplicatedLog.js'
import type { ProposalAnswer } from '../agreement/ProposalAnswer.js'
import type { ReplicaOptions } from '../agreement/ReplicaOptions.js'
import type { ReplicaStatus } from '../agreement/ReplicaStatus.js'
import { resetIdentity } from '../agreement/storage/resetIdentity.js'
import type { PlanEntry } from '../plan/PlanEntry.js'
import type { PlanResult } from '../plan/PlanResult.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import { ReplicaGroupManager, type ReplicaGroupManagerOptions } from './ReplicaGroupManager.js'

/** Timeout for this replica to apply what the leader has committed: one heartbeat of the leader, and some more. */
const APPLY_TIMEOUT_MILLISECONDS = 800
const APPLY_POLL_INTERVAL_MILLISECONDS = 10

/** Dependencies of {@link PlanReplica}. */
export interface PlanReplicaOptions {
  replica: Omit<ReplicaOptions<PlanEntry, PlanResult>, 'makeIdentity'>
  group: Pick<ReplicaGroupManagerOptions, 'seeds' | 'isFirstStart' | 'listPeers' | 'desiredVoters' | 'neededVoters'>
  /** Called before the applied state is discarded, since the replica begins anew. */
  onReset: () => void
  /** Called when the replica cannot be opened anew. */
  onFailure: () => void
}

/** A control host's replica of the log of plans, which keeps itself in the group: a replica that was removed, or whose files are unusable, begins anew. */
export class PlanReplica {
  readonly #options: PlanReplicaOptions
  #replica: ReplicatedLog<PlanEntry, PlanResult>
  #groupManager: ReplicaGroupManager
  #isStopping = false

  /** @param options - state machine, folder, transport and group */
  constructor (options: PlanReplicaOptions) {
    this.#options = options
    this.#replica = this.#createReplica()
    this.#groupManager = this.#createGroupManager(options.group.isFirstStart)
  }

  get status (): ReplicaStatus {
    return this.#replica.status()
  }

  /** Whether this replica is a voting member of the group. */
  get isVoter (): boolean {
    return this.#listVoterAddresses().includes(this.#options.replica.address)
  }

  /** Number of voting members that form a majority; while the group is forming, of as many as it needs. */
  get majoritySize (): number {
    const { configuration } = this.status
    const size = computeMajority(configuration)
    return configuration.isForming === true ? Math.max(size, Math.floor(this.#options.group.neededVoters() / 2) + 1) : size
  }

  /** @returns peer addresses of the other voting members */
  listOtherVoters (): string[] {
    return this.#listVoterAddresses().filter((address) => address !== this.#options.replica.address)
  }

  /** Restores the state from disk, and takes part in elections. If the disk fails, the host goes on without a replica until it works. */
  async open (): Promise<void> {
    try {
      await this.#replica.open()
    } catch (error) {
      this.#options.replica.log.error('replica-not-started', { step: Step.Storage, cause: String(error) })
    }
    this.#replica.start()
  }

  /** Begins to form, join and repair the group. */
  manageGroup (): void {
    const { log } = this.#options.replica
    this.#groupManager.run().catch((error: unknown) => { log.error('control-task-failed', { step: Step.Reconfigure, cause: String(error) }) })
  }

  /** @returns whether the entry was committed, with its result or the reason */
  async propose (entry: PlanEntry): Promise<ProposalAnswer<PlanResult>> {
    return await this.#replica.propose(entry)
  }

  /** @returns whether the entry at a position was applied here in time */
  async waitUntilApplied (index: number): Promise<boolean> {
    const deadline = performance.now() + APPLY_TIMEOUT_MILLISECONDS
    while (this.status.appliedIndex < index) {
      if (performance.now() > deadline) return false
      await pause(APPLY_POLL_INTERVAL_MILLISECONDS)
    }
    return true
  }

  /** Hands over the leadership before a planned {@link stop}. */
  async handOver (): Promise<void> {
    this.#isStopping = true
    this.#groupManager.stop()
    await this.#replica.handOver()
  }

  async stop (): Promise<void> {
    this.#isStopping = true
    this.#groupManager.stop()
    await this.#replica.stop()
  }

  #createReplica (): ReplicatedLog<PlanEntry, PlanResult> {
    return new ReplicatedLog<PlanEntry, PlanResult>({ ...this.#options.replica, makeIdentity: randomUUID })
  }

  #createGroupManager (isFirstStart: boolean): ReplicaGroupManager {
    const { replica: { address, callPeer, log }, group } = this.#options
    return new ReplicaGroupManager({
      ...group,
      replica: this.#replica,
      address,
      isFirstStart,
      callPeer,
      onRetired: () => { this.#rejoin().catch((error: unknown) => { this.#reportFailure(error) }) },
      log
    })
  }

  /** Begins anew, with another identity and an empty log. The old files stay until the replica has joined a group. */
  async #rejoin (): Promise<void> {
    const { replica: { files, folder }, onReset } = this.#options
    await this.#replica.stop()
    if (this.#isStopping) return
    onReset()
    await resetIdentity(files, folder, randomUUID())
    this.#replica = this.#createReplica()
    await this.open()
    this.#groupManager = this.#createGroupManager(false)
    this.manageGroup()
  }

  #reportFailure (error: unknown): void {
    const { replica: { log }, onFailure } = this.#options
    log.error('replica-not-reopened', { step: Step.Reconfigure, cause: String(error) })
    onFailure()
  }

  #listVoterAddresses (): string[] {
    return listVoters(this.status.configuration).map(({ address }) => address)
  }
}
