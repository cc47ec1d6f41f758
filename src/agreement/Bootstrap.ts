import { createHash } from 'node:crypto'
import { ReplicaRefusedError } from '../errors/ReplicaRefusedError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { MemberRole } from './MemberRole.js'
import type { ReconfigureAnswer } from './messages/ReconfigureAnswer.js'
import type { ReconfigureRequest } from './messages/ReconfigureRequest.js'
import { ReconfigureAction } from './ReconfigureAction.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { ReplicaCore } from './ReplicaCore.js'
import type { ReplicaMember } from './ReplicaMember.js'
import { ReplicaRole } from './ReplicaRole.js'
import type { ReplicaStatus } from './ReplicaStatus.js'
import type { Snapshot } from './Snapshot.js'

/**
 * Forms a replica group from empty replicas. The group's identity is a hash of its members,
 * so that the command can be repeated after an interruption, through any of them.
 */
export class Bootstrap {
  readonly #core: ReplicaCore

  /** @param core - the replica that received the command */
  constructor (core: ReplicaCore) {
    this.#core = core
  }

  /**
   * @param addresses - peer addresses of all first members
   * @param neededVoters - number of voters that the group must have had before it accepts values
   * @returns first state of the group, which all members have adopted
   * @throws {@link ReplicaRefusedError} when a replica belongs to another group or has not started, or the list is invalid
   */
  async run (addresses: string[], neededVoters: number): Promise<Snapshot> {
    if (addresses.length === 0 || new Set(addresses).size !== addresses.length) this.#refuse(errorTexts.bootstrapAddressesInvalid(), '')
    const statuses = await Promise.all(addresses.map((address) => this.#fetchStatus(address)))
    this.#requireStarted(addresses, statuses)
    const snapshot = this.#createFirstSnapshot(addresses, statuses, neededVoters)
    statuses.forEach(({ group }, index) => {
      if (group !== undefined && group !== snapshot.group) this.#refuse(errorTexts.bootstrapGroupMismatch(addresses[index] ?? ''), addresses[index] ?? '')
    })
    await Promise.all(snapshot.configuration.members.map((member) => this.#sendSnapshot(member, snapshot)))
    return snapshot
  }

  /** Adopts the first state of a group, if this replica is empty or has already adopted it. */
  async adoptGroup (request: ReconfigureRequest): Promise<ReconfigureAnswer> {
    const core = this.#core
    const { snapshot, identity = '' } = request
    core.requireRunning(identity)
    if (identity !== core.identity) this.#refuse(errorTexts.replicaIdentityMismatch(identity, core.identity), identity)
    if (snapshot === undefined) this.#refuse(errorTexts.bootstrapAddressesInvalid(), identity)
    if (core.role === ReplicaRole.Empty) await core.joinGroup(snapshot, snapshot.position.term)
    if (core.group !== snapshot.group) this.#refuse(errorTexts.bootstrapGroupMismatch(core.options.address), core.options.address)
    return { done: true, configuration: core.configuration }
  }

  /** Uses the longest call timeout, since before the group is formed nothing depends on a quick answer from a slow host. */
  #fetchStatus (address: string): Promise<ReplicaStatus> {
    const { callPeer } = this.#core.options
    return callPeer<ReplicaStatus>(address, PeerMethod.ReplicaStatus, {}, this.#core.timings.transferMilliseconds)
  }

  /** A replica that has not read its data folder has no identity yet, so a group that includes it could never be completed. */
  #requireStarted (addresses: string[], statuses: ReplicaStatus[]): void {
    const address = addresses.find((_, index) => statuses[index]?.role === ReplicaRole.Stopped)
    if (address !== undefined) this.#refuse(errorTexts.bootstrapNotStarted(address), address)
  }

  #createFirstSnapshot (addresses: string[], statuses: ReplicaStatus[], neededVoters: number): Snapshot {
    const members = statuses
      .map(({ identity }, index) => ({ identity, address: addresses[index] ?? '', role: MemberRole.Voter }))
      .sort((left, right) => left.identity < right.identity ? -1 : 1)
    const duplicate = members.find((member, index) => member.identity === members[index + 1]?.identity)
    if (duplicate !== undefined) this.#refuse(errorTexts.bootstrapDuplicateIdentity(duplicate.identity), duplicate.address)
    const group = createHash('sha256').update(JSON.stringify(members)).digest('hex')
    const configuration: ReplicaConfiguration = { members, retired: [] }
    if (members.length < neededVoters) configuration.isForming = true
    return { group, position: { index: 0, term: 0 }, configuration }
  }

  async #sendSnapshot (member: ReplicaMember, snapshot: Snapshot): Promise<void> {
    const { callPeer } = this.#core.options
    const request: ReconfigureRequest = { action: ReconfigureAction.AdoptGroup, forwarded: true, identity: member.identity, snapshot }
    await callPeer<ReconfigureAnswer>(member.address, PeerMethod.Reconfigure, request, this.#core.timings.transferMilliseconds)
  }

  #refuse (message: string, peer: string): never {
    throw new ReplicaRefusedError(message, Step.Reconfigure, peer)
  }
}
