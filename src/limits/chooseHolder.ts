import { rankByRendezvous } from '../utils/rankByRendezvous.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { LeaseScope } from './LeaseScope.js'

/**
 * @param scope - the scope
 * @param members - the hosts as the membership sees them
 * @returns name of the host that should divide the scope's budgets, undefined when none is live
 */
export function chooseHolder (scope: LeaseScope, members: readonly Member[]): string | undefined {
  const liveMembers = members.filter((member) => scope.consumers.includes(member.host.name) && member.state === MemberState.Alive)
  const nonDrainingMembers = liveMembers.filter((member) => !member.details.draining)
  return rankByRendezvous(scope.name, (nonDrainingMembers.length > 0 ? nonDrainingMembers : liveMembers).map((member) => member.host.name))[0]
}
