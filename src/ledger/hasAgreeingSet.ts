import type { MemberIncarnation } from './Epoch.js'

/** A reply of one member, with the incarnations that it knew at that time. */
export interface MemberReply {
  member: string
  incarnations: MemberIncarnation[]
}

/**
 * Checks whether enough replies can be counted together. A member that restarted has lost the claims that it acknowledged
 * earlier; a reply from before its restart must not be counted with a reply of a member that already knows of the restart,
 * because the latter may have answered the recovery read before it received this claim.
 *
 * @param replies - at most one of each member
 * @param requiredCount - number of replies needed
 * @returns whether that many of them agree on each other's incarnations
 */
export function hasAgreeingSet (replies: MemberReply[], requiredCount: number): boolean {
  if (requiredCount === 0) return true
  if (replies.length < requiredCount) return false
  const [first, ...rest] = replies
  if (first === undefined) return false
  return hasAgreeingSet(rest.filter((other) => areConsistent(first, other)), requiredCount - 1) || hasAgreeingSet(rest, requiredCount)
}

function areConsistent (left: MemberReply, right: MemberReply): boolean {
  return !knowsNewerIncarnation(left, right) && !knowsNewerIncarnation(right, left)
}

function knowsNewerIncarnation (observer: MemberReply, other: MemberReply): boolean {
  return getIncarnation(observer, other.member) > getIncarnation(other, other.member)
}

function getIncarnation (reply: MemberReply, address: string): number {
  return reply.incarnations.find((known) => known.address === address)?.incarnation ?? 0
}
