import { rankByRendezvous } from '../utils/rankByRendezvous.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { LeaseScope } from './LeaseScope.js'

/**
 * Chooses the host that should be the holder of a scope by rendezvous hashing. Draining hosts are chosen only when
 * no other host is live.
 *
 * @param scope - scope of which one consumer is chosen
 * @param members - all hosts as seen by the local membership view
 * @returns name of the host; undefined when no consumer of the scope is live
 */
export function chooseHolder (scope: LeaseScope, members: readonly Member[]): string | undefined {
  const liveMembers = members.filter((member) => scope.consumers.includes(member.host.name) && member.state === MemberState.Alive)
  const nonDrainingMembers = liveMembers.filter((member) => !member.details.draining)
  return rankByRendezvous(scope.name, (nonDrainingMembers.length > 0 ? nonDrainingMembers : liveMembers).map((member) => member.host.name))[0]
}
