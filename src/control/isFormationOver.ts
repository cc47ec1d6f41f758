import { MemberRole } from '../agreement/MemberRole.js'
import { listVoters, type ReplicaConfiguration } from '../agreement/ReplicaConfiguration.js'

/**
 * Time after which a group accepts plans although it never had the voters that it needs: hosts that are later than this may
 * not exist. It is longer than the time within which a host that has started is to be a voter.
 */
const MAXIMUM_FORMATION_MILLISECONDS = 5_000
/** The same while hosts are joining: one whose disk fails joins, but never catches up. */
const MAXIMUM_JOINING_MILLISECONDS = 10_000

/** What a leader knows of the forming of its group. */
export interface Formation {
  /** Number of voters with which a majority survives the loss of all disks that may be lost at once. */
  neededVoters: number
  /** How long this leader has led the forming group. */
  milliseconds: number
}

/**
 * Answers the first orders after a start, while hosts join one after another: a majority of the few voters so far could be
 * lost with its disks, and the orders with it.
 *
 * @param configuration - members of a group that is forming
 * @param formation - size that the group needs, and how long it has been forming
 * @returns whether the group accepts plans from now on
 */
export function isFormationOver (configuration: ReplicaConfiguration, { neededVoters, milliseconds }: Formation): boolean {
  if (listVoters(configuration).length >= neededVoters) return true
  const hasLearners = configuration.members.some(({ role }) => role === MemberRole.Learner)
  return milliseconds >= (hasLearners ? MAXIMUM_JOINING_MILLISECONDS : MAXIMUM_FORMATION_MILLISECONDS)
}
