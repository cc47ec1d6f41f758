import { EpochState, type Epoch } from './Epoch.js'
import type { MemberStatus } from './LedgerMessages.js'
import { quorumSize } from './quorumSize.js'

/**
 * @param statuses - statuses of the reachable ledger hosts
 * @returns every epoch that one of them holds, newest first
 */
export function listEpochs (statuses: MemberStatus[]): Epoch[] {
  const epochsById = new Map(statuses.flatMap((status) => status.epochs.map(({ epoch }) => [epoch.id, epoch] as const)))
  return [...epochsById.values()].sort((left, right) => left.id < right.id ? 1 : -1)
}

/**
 * @param statuses - statuses of the reachable ledger hosts
 * @param epoch - the epoch whose members are listed
 * @param states - states to include
 * @returns sorted addresses of the members at which the epoch is in one of these states
 */
export function listMembersIn (statuses: MemberStatus[], epoch: Epoch, states: EpochState[]): string[] {
  const hasState = (status: MemberStatus): boolean => status.epochs.some((epochStatus) => epochStatus.epoch.id === epoch.id && states.includes(epochStatus.state))
  const isMember = (status: MemberStatus): boolean => epoch.members.some(({ address }) => address === status.address)
  return statuses.filter((status) => isMember(status) && hasState(status)).map(({ address }) => address).sort()
}

/**
 * @param statuses - statuses of the reachable ledger hosts
 * @returns the newest epoch in which a quorum accepts claims, undefined when there is none
 */
export function findCurrentEpoch (statuses: MemberStatus[]): Epoch | undefined {
  return listEpochs(statuses).find((epoch) => listMembersIn(statuses, epoch, [EpochState.Active]).length >= quorumSize(epoch.members.length))
}

/**
 * @param statuses - statuses of the reachable ledger hosts
 * @param current - the current epoch, if any
 * @returns whether the reachable hosts that are not leaving are exactly the epoch's members, and all of them accept claims
 */
export function isComplete (statuses: MemberStatus[], current: Epoch | undefined): boolean {
  const staying = statuses.filter(({ isLeaving }) => !isLeaving)
  if (current === undefined || current.members.length !== staying.length) return false
  return listMembersIn(staying, current, [EpochState.Active]).length === staying.length
}
