/**
 * @param memberCount - number of members of an epoch
 * @returns number of members that have to acknowledge a claim, a majority
 */
export function quorumSize (memberCount: number): number {
  return Math.floor(memberCount / 2) + 1
}

/**
 * @param memberCount - number of members of an epoch
 * @returns minimum number of members that intersect every quorum
 */
export function intersectingSize (memberCount: number): number {
  return memberCount - quorumSize(memberCount) + 1
}
