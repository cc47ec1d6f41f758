import { fetchReplicaStatus } from '../agreement/fetchReplicaStatus.js'
import type { ReconfigureAnswer } from '../agreement/messages/ReconfigureAnswer.js'
import { ReconfigureAction } from '../agreement/ReconfigureAction.js'
import type { ReplicatedLog } from '../agreement/ReplicatedLog.js'
import { listVoters, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'
import { ReplicaRefusalReason } from '../agreement/ReplicaRefusalReason.js'
import { ReplicaRole } from '../agreement/ReplicaRole.js'
import type { ReplicaStatus } from '../agreement/ReplicaStatus.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { askWithHedging } from '../utils/askWithHedging.js'
import { pause } from '../utils/pause.js'
import { chooseRepair, RepairKind, type GroupHealth, type Repair } from './chooseRepair.js'
import { isFormationOver } from './isFormationOver.js'

const CHECK_INTERVAL_MILLISECONDS = 200
/** Timeout for one member to add this replica; the leader asks this replica for its status meanwhile. */
const JOIN_TIMEOUT_MILLISECONDS = 1_500
/** Delay before the next member is asked in parallel: two round trips between regions, and a disk sync on each side. */
const JOIN_HEDGING_DELAY_MILLISECONDS = 300
/** Silence after which a voter is removed if there is a spare one: two removals fit into the 4 s within which the users expect a complete group again. */
const VOTER_SILENCE_MILLISECONDS = 2_000
/** Silence after which a learner is removed. It is longer, because such a learner only has to be passed over, and begins anew if it returns. */
const LEARNER_SILENCE_MILLISECONDS = 10_000
/** Silence of the leader after which a replica asks its peers whether it was removed: longer than an election, and short enough for a removed voter to be one again within the time to catch up. */
const LEADER_SILENCE_MILLISECONDS = 1_500
const STATUS_TIMEOUT_MILLISECONDS = 500
/** Delay per preceding seed before a seed forms the group, which gives those seeds time to form it first. */
const BOOTSTRAP_DELAY_MILLISECONDS = 2_000

/** The part of a replica that {@link ReplicaGroupManager} uses. */
export type ManagedReplica = Pick<ReplicatedLog<unknown, unknown>, 'status' | 'bootstrap' | 'promote' | 'remove' | 'replace' | 'completeFormation' | 'listSilent'>

/** Dependencies of {@link ReplicaGroupManager}. */
export interface ReplicaGroupManagerOptions {
  replica: ManagedReplica
  /** Peer address of this host. */
  address: string
  /** Peer addresses of the hosts that form the group. */
  seeds: () => string[]
  /** Whether the entire system starts for the first time. */
  isFirstStart: boolean
  /** @returns peer addresses of all other known control hosts */
  listPeers: () => string[]
  /** @returns number of voters in a complete group */
  desiredVoters: () => number
  /** @returns number of voters with which a majority survives the loss of all disks that may be lost at once */
  neededVoters: () => number
  callPeer: CallPeer
  /** Called when this replica can take no further part: it was removed from the group for good, or its files are missing or corrupt. */
  onRetired: () => void
  log: Log
}

/** Forms the replica group, joins it, and repairs it, without an operator. */
export class ReplicaGroupManager {
  readonly #options: ReplicaGroupManagerOptions
  readonly #startedAt = performance.now()
  #isRunning = false
  #lastLeaderContactAt = performance.now()
  #wasCurrent = false
  #loggedConfiguration: ReplicaConfiguration | undefined
  #failedIdentity: string | undefined
  /** Monotonic time at which this replica began to lead a forming group, in milliseconds; undefined while it does not lead. */
  #formingSince: number | undefined

  /** @param options - the replica, its peers and the size of the group */
  constructor (options: ReplicaGroupManagerOptions) {
    this.#options = options
  }

  /** Checks the group periodically until {@link stop}. */
  async run (): Promise<void> {
    this.#isRunning = true
    while (this.#isRunning) {
      await this.#checkGroup()
      await pause(CHECK_INTERVAL_MILLISECONDS)
    }
  }

  stop (): void {
    this.#isRunning = false
  }

  async #checkGroup (): Promise<void> {
    const { role, hasQuorum, hearsLeader, isCurrent, isUnusable, failure } = this.#options.replica.status()
    this.#logCurrencyChange(isCurrent)
    this.#logMembershipChange()
    const now = performance.now()
    if (hasQuorum || hearsLeader) this.#lastLeaderContactAt = now
    if (!hasQuorum) this.#formingSince = undefined
    if (isUnusable === true) return await this.#retireIfGroupWorks(failure)
    if (role === ReplicaRole.Empty) await this.#formOrJoinGroup()
    else if (hasQuorum) await this.#maintainGroup()
    else if (now - this.#lastLeaderContactAt > LEADER_SILENCE_MILLISECONDS) await this.#checkRetired()
  }

  /** Logs when this replica begins or ceases to be current, that is, to know all committed entries. */
  #logCurrencyChange (isCurrent: boolean): void {
    if (isCurrent === this.#wasCurrent) return
    this.#wasCurrent = isCurrent
    const { term, leader, appliedIndex, commitIndex, hearsLeader } = this.#options.replica.status()
    this.#options.log.info(isCurrent ? 'replica-current' : 'replica-not-current', { step: Step.Registry, term, leader, applied: appliedIndex, committed: commitIndex, hearsLeader })
  }

  /** Logs the members when they changed: their number tells how many lost disks an acknowledgement outlives. */
  #logMembershipChange (): void {
    const { configuration, isConfigurationCommitted, term, role } = this.#options.replica.status()
    if (configuration === this.#loggedConfiguration) return
    this.#loggedConfiguration = configuration
    const voters = listVoters(configuration).map(({ address }) => address)
    this.#options.log.info('group-members', { step: Step.Reconfigure, term, role, voters: voters.length, wanted: this.#options.desiredVoters(), members: configuration.members.length, committed: isConfigurationCommitted, addresses: voters.join(',') })
  }

  async #formOrJoinGroup (): Promise<void> {
    if (this.#canBootstrap() && await this.#bootstrap()) return
    await askWithHedging(this.#options.listPeers(), (address) => this.#askToJoin(address), JOIN_HEDGING_DELAY_MILLISECONDS)
  }

  #canBootstrap (): boolean {
    const { isFirstStart, address } = this.#options
    const seedIndex = this.#options.seeds().indexOf(address)
    return isFirstStart && seedIndex >= 0 && performance.now() - this.#startedAt >= seedIndex * BOOTSTRAP_DELAY_MILLISECONDS
  }

  async #bootstrap (): Promise<boolean> {
    const { replica, log } = this.#options
    const seeds = this.#options.seeds()
    try {
      await replica.bootstrap(seeds, this.#options.neededVoters())
      log.info('group-formed', { step: Step.Reconfigure, members: seeds.join(',') })
      return true
    } catch (error) {
      log.info('group-not-formed', { step: Step.Reconfigure, cause: String(error) })
      return false
    }
  }

  async #askToJoin (peer: string): Promise<boolean> {
    const { callPeer, address, log } = this.#options
    const request = { action: ReconfigureAction.AddLearner, forwarded: false, address }
    try {
      const answer = await callPeer<ReconfigureAnswer>(peer, PeerMethod.Reconfigure, request, JOIN_TIMEOUT_MILLISECONDS)
      log.info('join-asked', { step: Step.Reconfigure, peer, done: answer.done, reason: answer.reason })
      if (answer.reason === ReplicaRefusalReason.Retired) this.#retire()
      return answer.done
    } catch (error) {
      log.info('join-failed', { step: Step.Reconfigure, peer, cause: String(error) })
      return false
    }
  }

  async #maintainGroup (): Promise<void> {
    if (this.#options.replica.status().configuration.isForming === true) await this.#checkFormation()
    await this.#repairGroup()
  }

  async #checkFormation (): Promise<void> {
    const { replica, neededVoters, log } = this.#options
    const { configuration } = replica.status()
    this.#formingSince ??= performance.now()
    const milliseconds = performance.now() - this.#formingSince
    if (!isFormationOver(configuration, { neededVoters: neededVoters(), milliseconds })) return
    const { done, reason } = await replica.completeFormation()
    log.info('group-complete', { step: Step.Reconfigure, voters: listVoters(configuration).length, needed: neededVoters(), took: Math.round(milliseconds), done, reason })
  }

  async #repairGroup (): Promise<void> {
    const { replica, log, desiredVoters } = this.#options
    const health: GroupHealth = {
      silentIdentities: replica.listSilent(VOTER_SILENCE_MILLISECONDS),
      lostIdentities: replica.listSilent(LEARNER_SILENCE_MILLISECONDS),
      failedIdentity: this.#failedIdentity
    }
    const repair = chooseRepair(replica.status().configuration, health, desiredVoters())
    if (repair === undefined) return
    const answer = await this.#applyRepair(repair)
    this.#failedIdentity = answer.done ? undefined : repair.identity
    log.info('group-repaired', { step: Step.Reconfigure, ...repair, done: answer.done, reason: answer.reason })
  }

  #applyRepair (repair: Repair): Promise<ReconfigureAnswer> {
    const { replica } = this.#options
    if (repair.kind === RepairKind.Promote) return replica.promote(repair.identity)
    if (repair.kind === RepairKind.Remove) return replica.remove(repair.identity)
    return replica.replace(repair.lost, repair.address)
  }

  async #checkRetired (): Promise<void> {
    const { replica, callPeer, listPeers } = this.#options
    const { identity, group } = replica.status()
    const statuses = await Promise.all(listPeers().map((address) => fetchReplicaStatus(callPeer, address, STATUS_TIMEOUT_MILLISECONDS)))
    this.#lastLeaderContactAt = performance.now()
    // A removal that is not committed may still be dropped, and the identity would have been given up for nothing.
    const confirmsRemoval = (status: ReplicaStatus): boolean => status.isConfigurationCommitted !== false && status.group === group && status.configuration.retired.includes(identity)
    if (statuses.some((status) => status !== undefined && confirmsRemoval(status))) this.#retire()
  }

  /** Without a leader the replica could not join anyway, and its vote may still be needed, should its files be intact at the next start. */
  async #retireIfGroupWorks (failure?: string): Promise<void> {
    const { callPeer, listPeers } = this.#options
    const statuses = await Promise.all(listPeers().map((address) => fetchReplicaStatus(callPeer, address, STATUS_TIMEOUT_MILLISECONDS)))
    if (statuses.some((status) => status?.hasQuorum === true)) this.#retire(failure)
  }

  /** Gives up the identity of this replica: there is no operator who would put back its files or replace it. */
  #retire (failure?: string): void {
    if (!this.#isRunning) return
    const { replica, onRetired, log } = this.#options
    log.warn('replica-retired', { step: Step.Reconfigure, identity: replica.status().identity, cause: failure })
    this.#isRunning = false
    onRetired()
  }
}
