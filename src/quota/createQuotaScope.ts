import type { ControlHost } from '../registry/ControlHost.js'
import type { LeaseScope } from '../limits/LeaseScope.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'

/** Name of the only scope of account quotas. */
export const QUOTA_SCOPE = 'accounts'

/**
 * Creates the scope in which the control hosts share the budgets of accounts. Its consumers and voters are failure domains, so
 * that a replacement takes the place of the control host that was lost, and a partition without a majority has no holder.
 *
 * @param domains - names of all failure domains with a control host
 */
export function createQuotaScope (domains: readonly string[]): LeaseScope {
  const consumers = [...domains].sort()
  return {
    name: QUOTA_SCOPE,
    consumers,
    voters: consumers,
    isQuorum: (names) => consumers.filter((name) => names.has(name)).length * 2 > consumers.length
  }
}

/**
 * Lists the members of the scope. Of several control hosts in one domain, as while one is replaced, only that with the first
 * address counts: two that spend the part of one domain would exceed the quota, and two of one name could both be elected.
 *
 * @param controlHosts - this control host and those that were in contact recently
 * @returns one live member per failure domain, named by the domain
 */
export function listQuotaMembers (controlHosts: readonly ControlHost[]): Member[] {
  const members = new Map<string, Member>()
  const sortedHosts = [...controlHosts].sort((left, right) => left.peerAddress < right.peerAddress ? -1 : 1)
  for (const { peerAddress, domain, region } of sortedHosts) {
    if (domain === undefined || members.has(domain)) continue
    members.set(domain, {
      host: { name: domain, domain, region: region ?? '', peerAddress, guestAddress: '' },
      state: MemberState.Alive,
      incarnation: 0,
      version: 0,
      details: { draining: false, sheetNumber: 0, pools: [] }
    })
  }
  return [...members.values()]
}
