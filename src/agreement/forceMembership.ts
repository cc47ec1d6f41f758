import { ReplicaRefusedError } from '../errors/ReplicaRefusedError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import { fetchReplicaStatus } from './fetchReplicaStatus.js'
import { isUpToDate } from './LogPosition.js'
import { MemberRole } from './MemberRole.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaRole } from './ReplicaRole.js'
import type { Snapshot } from './Snapshot.js'
import { encodeSnapshot } from './storage/ReplicaStorage.js'

/**
 * Makes one replica the only member of a new group, after a majority of the old group is lost permanently.
 * All entries of its log count as committed; the other members of the old group can never join the new one.
 *
 * @param core - the replica that becomes the only member
 * @param identity - its identity, as confirmation by the operator
 * @throws {@link ReplicaRefusedError} when the identity differs, the replica is empty or stopped, or it or a member that
 * answers has a leader, or such a member holds a longer log
 */
export async function forceMembership (core: ReplicaCore, identity: string): Promise<void> {
  core.requireRunning(identity)
  if (identity !== core.identity) refuse(errorTexts.forcedMembershipIdentityMismatch(identity, core.identity), identity)
  if (core.role === ReplicaRole.Empty) refuse(errorTexts.replicaWithoutGroup(), identity)
  if (core.hasLeader()) refuse(errorTexts.forcedMembershipWithLeader(), core.leader ?? '')
  await checkReachableMembers(core)
  const { members, retired } = core.configuration
  const lostIdentities = members.filter((member) => member.identity !== identity).map((member) => member.identity)
  const soleMember = { identity, address: core.options.address, role: MemberRole.Voter }
  core.becomeFollower(core.term + 1)
  core.commitTo(core.tail.last.index)
  const snapshot: Snapshot = {
    group: core.options.makeIdentity(),
    position: core.getAppliedPosition(),
    configuration: { members: [soleMember], retired: [...retired, ...lostIdentities] },
    state: core.options.snapshot()
  }
  core.role = ReplicaRole.Empty
  core.group = snapshot.group
  core.appliedConfiguration = snapshot.configuration
  core.tail.rebase(snapshot.position)
  await core.storage.saveSnapshot(encodeSnapshot(snapshot))
  await core.storage.replaceLog(core.tail.base, core.tail.entries)
  await core.waitForDurableVote()
  core.role = ReplicaRole.Follower
}

async function checkReachableMembers (core: ReplicaCore): Promise<void> {
  const { callPeer, address: localAddress } = core.options
  const checks = core.configuration.members.filter(({ address }) => address !== localAddress).map(async ({ address }) => {
    const status = await fetchReplicaStatus(callPeer, address, core.timings.statusMilliseconds)
    if (status === undefined || status.group !== core.group) return
    if (status.hearsLeader) refuse(errorTexts.forcedMembershipWithLeader(), address)
    if (!isUpToDate(core.tail.last, status.last)) refuse(errorTexts.forcedMembershipBehind(address), address)
  })
  await Promise.all(checks)
}

function refuse (message: string, peer: string): never {
  throw new ReplicaRefusedError(message, Step.Reconfigure, peer)
}
