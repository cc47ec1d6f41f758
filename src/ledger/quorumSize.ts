/**
 * @param memberCount - number of members of an epoch
 * @returns how many of them have to acknowledge a claim
 */
export function quorumSize (memberCount: number): number {
  return Math.floor(memberCount / 2) + 1
}

/**
 * @param memberCount - number of members of an epoch
 * @returns how many of them share a member with every quorum
 */
export function intersectingSize (memberCount: number): number {
  return memberCount - quorumSize(memberCount) + 1
}
