import { MemberRole } from './MemberRole.js'
import type { ReplicaMember } from './ReplicaMember.js'

/** Membership of a replica group. */
export interface ReplicaConfiguration {
  members: ReplicaMember[]
  /** Identities that were removed and can never join again. */
  retired: string[]
  /** Set until the group has had as many voters as it needs; it accepts no values until then. */
  isForming?: true
}

/**
 * @param configuration - membership of the group
 * @returns its voting members
 */
export function listVoters (configuration: ReplicaConfiguration): ReplicaMember[] {
  return configuration.members.filter((member) => member.role === MemberRole.Voter)
}

/**
 * @param configuration - membership of the group
 * @returns number of voters that form a majority
 */
export function computeMajority (configuration: ReplicaConfiguration): number {
  return Math.floor(listVoters(configuration).length / 2) + 1
}

/**
 * @param configuration - membership of the group
 * @param identity - identity of a replica
 * @returns the member with that identity, if any
 */
export function findMember (configuration: ReplicaConfiguration, identity: string): ReplicaMember | undefined {
  return configuration.members.find((member) => member.identity === identity)
}

/**
 * @param configuration - membership of the group
 * @param identity - identity of a replica
 * @returns whether it is a voting member
 */
export function isVoter (configuration: ReplicaConfiguration, identity: string): boolean {
  return findMember(configuration, identity)?.role === MemberRole.Voter
}
