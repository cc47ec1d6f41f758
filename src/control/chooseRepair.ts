import { MemberRole } from '../agreement/MemberRole.js'
import { listVoters, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'
import type { ReplicaMember } from '../agreement/ReplicaMember.js'

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
  /** Remove a member that is gone. */
  Remove = 'remove'
}

/** What a leader knows of the members of its group besides their configuration. */
export interface GroupHealth {
  /** Identities of members that were silent for long, the longest silent first. */
  silentIdentities: readonly string[]
  /** Identities of members that were silent for so long that learners among them are removed. */
  lostIdentities: readonly string[]
  /** Identity that the last repair concerned, if that failed: other learners go first. */
  failedIdentity?: string
}

/**
 * Chooses how a leader repairs its group. A voter that is gone for good is removed before its replacement votes: as long
 * as both are voters, the majority is larger, and further losses could leave no majority. One vacancy is filled before the
 * next is made, so that an acknowledgement never rests on a majority of fewer voters. A learner that is gone, too, never
 * holds back those that joined after it.
 *
 * @param configuration - present members of the group
 * @param health - members that are silent, and the last repair that failed
 * @param desiredVoters - number of voters in a complete group
 * @returns the next step, undefined when there is nothing to repair
 */
export function chooseRepair (configuration: ReplicaConfiguration, health: GroupHealth, desiredVoters: number): Repair | undefined {
  const voters = listVoters(configuration)
  const learners = listUsableLearners(configuration, health)
  const replacement = chooseReplacement(voters, learners)
  if (replacement !== undefined && voters.length >= desiredVoters) return replacement
  return chooseLearnerRemoval(configuration, health) ??
    chooseVacancyFill(voters, learners, health, desiredVoters) ??
    replacement ??
    chooseVoterRemoval(voters, health, learners.length > 0 ? desiredVoters - 1 : desiredVoters) ??
    choosePromotion(mayGainVoter(voters, desiredVoters) ? learners : [])
}

/**
 * Beyond the desired number, one more voter helps only if the majority stays the same. Otherwise the group would bear the
 * same losses among the other voters, and one less when the new one is lost again before the voter that is gone was removed.
 */
function mayGainVoter ({ length }: ReplicaMember[], desiredVoters: number): boolean {
  return length < desiredVoters || length % 2 === 0
}

function listUsableLearners (configuration: ReplicaConfiguration, { silentIdentities, failedIdentity }: GroupHealth): ReplicaMember[] {
  return listLearners(configuration)
    .filter((learner) => !silentIdentities.includes(learner.identity) && !isSuperseded(learner, configuration))
    .sort((left, right) => Number(left.identity === failedIdentity) - Number(right.identity === failedIdentity))
}

/** A learner whose promotion has just failed may fail again, and must not hold back a replacement. */
function chooseVacancyFill (voters: ReplicaMember[], learners: ReplicaMember[], { failedIdentity }: GroupHealth, desiredVoters: number): Repair | undefined {
  if (voters.length >= desiredVoters) return undefined
  return choosePromotion(learners.filter(({ identity, address }) => identity !== failedIdentity && !voters.some((voter) => voter.address === address)))
}

function chooseReplacement (voters: ReplicaMember[], learners: ReplicaMember[]): Repair | undefined {
  for (const { identity, address } of learners) {
    const lostVoter = voters.find((voter) => voter.address === address)
    if (lostVoter !== undefined) return { kind: RepairKind.Replace, identity, lost: lostVoter.identity, address }
  }
  return undefined
}

function chooseLearnerRemoval (configuration: ReplicaConfiguration, { lostIdentities }: GroupHealth): Repair | undefined {
  const gone = listLearners(configuration).find((learner) => lostIdentities.includes(learner.identity) || isSuperseded(learner, configuration))
  return gone === undefined ? undefined : { kind: RepairKind.Remove, identity: gone.identity }
}

function chooseVoterRemoval (voters: ReplicaMember[], { silentIdentities }: GroupHealth, neededVoters: number): Repair | undefined {
  const identity = silentIdentities.find((silent) => voters.some((voter) => voter.identity === silent))
  return identity === undefined || voters.length <= neededVoters ? undefined : { kind: RepairKind.Remove, identity }
}

function choosePromotion ([learner]: ReplicaMember[]): Repair | undefined {
  return learner === undefined ? undefined : { kind: RepairKind.Promote, identity: learner.identity }
}

function listLearners ({ members }: ReplicaConfiguration): ReplicaMember[] {
  return members.filter(({ role }) => role === MemberRole.Learner)
}

/** @returns whether a member that joined later has the same address: its disk was lost, and the identity with it */
function isSuperseded (member: ReplicaMember, { members }: ReplicaConfiguration): boolean {
  return members.slice(members.indexOf(member) + 1).some(({ address }) => address === member.address)
}
