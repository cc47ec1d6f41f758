import { MemberRole } from '../agreement/MemberRole.js'
import { votersOf, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'

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
 * Chooses how a leader mends its group. A new replica votes as soon as it has caught up, so that the group bears further
 * losses; what it replaces goes afterwards, and only while the group has more voters than it should.
 *
 * @param configuration - the group
 * @param silent - identities of voters that were silent for long, the longest first
 * @param wantedVoters - voters of a whole group
 * @returns the next step, undefined when there is nothing to mend
 */
export function chooseRepair (configuration: ReplicaConfiguration, silent: readonly string[], wantedVoters: number): Repair | undefined {
  const voters = votersOf(configuration)
  const learner = configuration.members.find(({ role }) => role === MemberRole.Learner)
  if (learner !== undefined) {
    const former = voters.find(({ address }) => address === learner.address)
    if (former !== undefined) return { kind: RepairKind.Replace, identity: learner.identity, lost: former.identity, address: learner.address }
    return { kind: RepairKind.Promote, identity: learner.identity }
  }
  const gone = silent[0]
  return voters.length > wantedVoters && gone !== undefined ? { kind: RepairKind.Remove, identity: gone } : undefined
}
