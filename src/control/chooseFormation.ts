import { createGroupIdentity } from '../agreement/createGroupIdentity.js'
import { ReplicaRole } from '../agreement/ReplicaRole.js'
import type { ReplicaStatus } from '../agreement/ReplicaStatus.js'
import { computeMajority } from './computeMajority.js'

/** With fewer failure domains no loss is tolerated, and what one host says is no evidence for the others. */
const MINIMUM_DOMAINS = 3

/** A control host that has answered, and its status. */
export interface FormationReport {
  address: string
  domain: string
  status: ReplicaStatus
}

/** Next step of control hosts that have no group which could accept anything. */
export type Formation =
  | { kind: FormationKind.Form, reports: FormationReport[] }
  | { kind: FormationKind.Leave, reports: FormationReport[], group: string }

export enum FormationKind {
  /** Form a group of all hosts, or complete that one if it was interrupted. */
  Form = 'form',
  /** Make the members of a group that cannot be completed leave it. */
  Leave = 'leave'
}

/**
 * Load pattern: losses, kills and replacements of control hosts while the first group is formed.
 *
 * A group may be formed, or left, only if one control host of each failure domain has answered and none of them knows that
 * the group may have accepted something: what was accepted is on a majority of voters, of which the tolerated losses leave one.
 *
 * @param reports - all control hosts that have answered
 * @param domains - number of failure domains; the platform has one control host in each
 * @param neededVoters - number of voters that a group needs before it accepts anything
 * @returns the next step, undefined when none is safe or needed
 */
export function chooseFormation (reports: readonly FormationReport[], domains: number, neededVoters: number): Formation | undefined {
  const sorted = [...reports].sort((left, right) => left.address < right.address ? -1 : 1)
  const isComplete = sorted.length === domains && new Set(sorted.map(({ domain }) => domain)).size === domains
  if (domains < MINIMUM_DOMAINS || !isComplete || !excludesOther(neededVoters, domains)) return undefined
  if (sorted.some(({ status }) => !isReady(status))) return undefined
  const groups = new Set(sorted.map(({ status }) => status.group).filter((group) => group !== undefined))
  const ownGroup = createGroupIdentity(sorted.map(({ address, status }) => ({ identity: status.identity, address })))
  if ([...groups].every((group) => group === ownGroup)) return { kind: FormationKind.Form, reports: sorted }
  const group = [...groups].find((candidate) => sorted.every(({ status }) => status.group !== candidate || !status.hearsLeader))
  return group === undefined ? undefined : { kind: FormationKind.Leave, reports: sorted, group }
}

/**
 * @param voters - number of voters of a group
 * @param domains - number of failure domains
 * @returns whether a majority of these voters and one of a control host in each failure domain have a host in common
 */
export function excludesOther (voters: number, domains: number): boolean {
  return computeMajority(voters) + computeMajority(domains) > domains
}

/** A replica that has failed, or whose group accepts values, takes part in no formation. */
function isReady ({ role, configuration }: ReplicaStatus): boolean {
  if (role === ReplicaRole.Empty) return true
  return role !== ReplicaRole.Stopped && configuration.isForming === true
}
