import { MemberRole } from '../agreement/MemberRole.js'
import { listVoters, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'

/** Next step towards a replica group with all its voters. */
export type Repair =
  | { kind: RepairKind.Promote, identity: string }
  | { kind: RepairKind.Replace, identity: string, lost: string, address: string }
  | { kind: RepairKind.Remove, identity: string }

export enum RepairKind {
  /** Make a learner a voter. */
  Promote = 'promote',
  /** Replace the voter that had the address of a learner by that learner. */
  Replace = 'replace',
  /** Remove a voter that is gone. */
  Remove = 'remove'
}

/**
 * Chooses how a leader repairs its group. A voter that is gone for good is removed before its replacement votes: as long
 * as both are voters, the majority is larger, and further losses could leave no majority.
 *
 * @param configuration - present members of the group
 * @param silentIdentities - identities of voters that were silent for long, the longest silent first
 * @param desiredVoters - number of voters in a complete group
 * @returns the next step, undefined when there is nothing to repair
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
