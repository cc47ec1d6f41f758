import { MemberRole } from '../agreement/MemberRole.js'
import { listVoters, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'

/** Next step that brings a replica group to its full strength. */
export type Repair =
  | { kind: RepairKind.Promote, identity: string }
  | { kind: RepairKind.Replace, identity: string, lost: string, address: string }
  | { kind: RepairKind.Remove, identity: string }

export enum RepairKind {
  /** Make a learner a voter. */
  Promote = 'promote',
  /** Put a learner in the place of the voter that had its address. */
  Replace = 'replace',
  /** Remove a voter that is gone. */
  Remove = 'remove'
}

/**
 * Chooses how a leader mends its group. A voter that is gone for good goes before its replacement votes: a lost voter
 * beside its replacement would raise the majority while the group waits, and further losses would leave none.
 *
 * @param configuration - the group
 * @param silentIdentities - identities of voters that were silent for long, the longest first
 * @param desiredVoters - voters of a whole group
 * @returns the next step, undefined when there is nothing to mend
 */
export function chooseRepair (configuration: ReplicaConfiguration, silentIdentities: readonly string[], desiredVoters: number): Repair | undefined {
  const voters = listVoters(configuration)
  const learner = configuration.members.find(({ role }) => role === MemberRole.Learner)
  const replacedVoter = voters.find(({ address }) => address === learner?.address)
  if (learner !== undefined && replacedVoter !== undefined) return { kind: RepairKind.Replace, identity: learner.identity, lost: replacedVoter.identity, address: learner.address }
  const goneIdentity = silentIdentities[0]
  const spareVoters = voters.length + (learner === undefined ? 0 : 1) - desiredVoters
  if (goneIdentity !== undefined && spareVoters > 0) return { kind: RepairKind.Remove, identity: goneIdentity }
  return learner === undefined ? undefined : { kind: RepairKind.Promote, identity: learner.identity }
}
