import { randomUUID } from 'node:crypto'
import { fetchReplicaStatus } from '../agreement/fetchReplicaStatus.js'
import type { ReconfigureAnswer } from '../agreement/messages/ReconfigureAnswer.js'
import type { ReconfigureRequest } from '../agreement/messages/ReconfigureRequest.js'
import { ReconfigureAction } from '../agreement/ReconfigureAction.js'
import { ReplicaRole } from '../agreement/ReplicaRole.js'
import type { ControlHost } from '../registry/ControlHost.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { getElapsedMilliseconds, readClocks } from '../utils/ClockReading.js'
import { chooseFormation, FormationKind, type Formation, type FormationReport } from './chooseFormation.js'
import type { ReplicaGroupManagerOptions } from './ReplicaGroupManager.js'

/** Time without a group or a leader after which all control hosts are asked whether to form a group; the first seed needs less than a second. */
const FORMATION_DELAY_MILLISECONDS = 3_000
/** Interval at which a host without a group or a leader introduces itself to the others. */
const INTRODUCTION_INTERVAL_MILLISECONDS = 1_000
/** Delay for each host whose address is lower, which gives that host time to do it first. */
const FORMATION_RANK_DELAY_MILLISECONDS = 1_000
/** Maximum duration of sealing a group: the replicas that are asked first must still be sealed when the last ones leave. */
const SEAL_TIMEOUT_MILLISECONDS = 250
const STATUS_TIMEOUT_MILLISECONDS = 500

/**
 * Forms the group when the seeds could not: one was lost before, all hosts were killed meanwhile, or the first group lost too
 * many disks while it was forming. Hosts that have no group, or only a forming one without a leader, take part.
 */
export class GroupFormation {
  readonly #options: ReplicaGroupManagerOptions
  readonly #startedAt = performance.now()
  #introducedAt = Number.NEGATIVE_INFINITY
  /** Monotonic time of the last attempt, in milliseconds. */
  #attemptedAt = performance.now()

  /** @param options - the replica, its peers and the size of the group */
  constructor (options: ReplicaGroupManagerOptions) {
    this.#options = options
  }

  /**
   * Does what is due; to be called several times a second.
   *
   * @param leaderContactAt - monotonic time of the last contact with a leader, in milliseconds
   */
  async run (leaderContactAt: number): Promise<void> {
    if (!this.#lacksGroup()) return
    this.#introduceIfDue()
    if (this.#isDue(leaderContactAt)) await this.#formWithAll()
  }

  #lacksGroup (): boolean {
    const { role, hearsLeader, configuration } = this.#options.replica.status()
    return role === ReplicaRole.Empty || (role === ReplicaRole.Follower && !hearsLeader && configuration.isForming === true)
  }

  #introduceIfDue (): void {
    if (performance.now() - this.#introducedAt < INTRODUCTION_INTERVAL_MILLISECONDS) return
    this.#introducedAt = performance.now()
    this.#options.introduce()
  }

  /** Whether this replica has had no leader for so long that the formation of its group may have been interrupted. */
  #isDue (leaderContactAt: number): boolean {
    const { replica, address, listControlHosts } = this.#options
    const { role } = replica.status()
    const rank = listControlHosts().filter(({ peerAddress }) => peerAddress < address).length
    const since = Math.max(this.#attemptedAt, role === ReplicaRole.Empty ? this.#startedAt : leaderContactAt)
    return performance.now() - since >= FORMATION_DELAY_MILLISECONDS + rank * FORMATION_RANK_DELAY_MILLISECONDS
  }

  /** Forms a group of the control hosts of all failure domains, or makes the members of one that cannot be completed leave it. */
  async #formWithAll (): Promise<void> {
    const { replica, log } = this.#options
    this.#attemptedAt = performance.now()
    const first = this.#chooseFormation(await this.#askHosts(this.#options.listControlHosts(), STATUS_TIMEOUT_MILLISECONDS))
    if (first === undefined) return
    if (first.kind === FormationKind.Leave) return await this.#leaveGroup(first)
    // A host may have joined a group, or lost its disk, before the last one answered: each is asked again after all have answered.
    const second = this.#chooseFormation(await this.#askHosts(this.#options.listControlHosts(), STATUS_TIMEOUT_MILLISECONDS))
    if (second?.kind !== FormationKind.Form || !hasSameReplicas(first.reports, second.reports)) return
    const addresses = second.reports.map((report) => report.address)
    try {
      await replica.bootstrap(addresses, Number.MAX_SAFE_INTEGER, second.reports.map(({ status }) => status.identity))
      log.info('group-formed', { step: Step.Reconfigure, members: addresses.join(',') })
    } catch (error) {
      log.info('group-not-formed', { step: Step.Reconfigure, cause: String(error) })
    }
  }

  #chooseFormation (reports: FormationReport[]): Formation | undefined {
    return chooseFormation(reports, this.#options.desiredVoters(), this.#options.neededVoters())
  }

  async #askHosts (hosts: readonly ControlHost[], timeoutMilliseconds: number): Promise<FormationReport[]> {
    const { callPeer } = this.#options
    const reports = await Promise.all(hosts.map(async ({ peerAddress, domain }): Promise<FormationReport | undefined> => {
      const status = await fetchReplicaStatus(callPeer, peerAddress, timeoutMilliseconds)
      return status === undefined || domain === undefined ? undefined : { address: peerAddress, domain, status }
    }))
    return reports.filter((report) => report !== undefined)
  }

  /**
   * Gives up a group that has accepted nothing. All its members are sealed first, so that it can accept nothing until they have
   * left, and the other hosts are asked again meanwhile. A member leaves by itself only if it was sealed just now.
   */
  async #leaveGroup ({ reports, group }: Formation & { kind: FormationKind.Leave }): Promise<void> {
    const members = reports.filter(({ status }) => status.group === group)
    const startedAt = readClocks()
    const attempt = randomUUID()
    const command = async (action: ReconfigureAction): Promise<boolean[]> => await Promise.all(members.map((member) => this.#commandMember(member, { action, forwarded: true, group, attempt })))
    const hosts = reports.map(({ address, domain }) => ({ peerAddress: address, domain, region: undefined }))
    const [again, sealed] = await Promise.all([this.#askHosts(hosts, SEAL_TIMEOUT_MILLISECONDS), command(ReconfigureAction.SealFormation)])
    const second = this.#chooseFormation(again)
    const isUnchanged = second?.kind === FormationKind.Leave && second.group === group && hasSameReplicas(reports, second.reports)
    const isSealed = isUnchanged && sealed.every(Boolean) && getElapsedMilliseconds(startedAt) <= SEAL_TIMEOUT_MILLISECONDS
    if (isSealed) await command(ReconfigureAction.LeaveFormation)
    this.#options.log.info('formation-given-up', { step: Step.Reconfigure, group, members: members.length, done: isSealed })
  }

  async #commandMember ({ address, status: { identity } }: FormationReport, request: ReconfigureRequest): Promise<boolean> {
    try {
      return (await this.#options.callPeer<ReconfigureAnswer>(address, PeerMethod.Reconfigure, { ...request, identity }, SEAL_TIMEOUT_MILLISECONDS)).done
    } catch {
      // A member that cannot be reached is asked again with the next attempt.
      return false
    }
  }
}

function hasSameReplicas (left: readonly FormationReport[], right: readonly FormationReport[]): boolean {
  return left.length === right.length && left.every(({ address, status }, index) => address === right[index]!.address && status.identity === right[index]!.status.identity)
}
