import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'

const STATE_PRECEDENCE: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Dead]: 2,
  [MemberState.Left]: 3
}

/**
 * Merges two records of one host. A record of a higher incarnation replaces one of a lower incarnation completely. Within one
 * incarnation, the state of higher precedence and the details of the higher version win. The order of merging does not matter.
 *
 * @param stored - one record
 * @param received - another record of the same host
 * @returns the merged record; `stored` itself when `received` changes nothing
 */
export function mergeMember (stored: Member, received: Member): Member {
  if (received.incarnation < stored.incarnation) return stored
  if (received.incarnation > stored.incarnation) return received

  const hasHigherState = STATE_PRECEDENCE[received.state] > STATE_PRECEDENCE[stored.state]
  const hasNewerVersion = received.version > stored.version
  if (!hasHigherState && !hasNewerVersion) return stored
  const latest = hasNewerVersion ? received : stored
  return { ...latest, state: hasHigherState ? received.state : stored.state }
}
