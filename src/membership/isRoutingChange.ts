import type { Member } from '../types/Member.js'

/**
 * Distinguishes changes that affect routing from changes of load figures only.
 *
 * @param before - previous record; undefined when the host was unknown
 * @param after - new record
 * @returns whether the state, the incarnation, draining or the set of owned pools changed
 */
export function isRoutingChange (before: Member | undefined, after: Member): boolean {
  if (before === undefined) return true
  if (before.state !== after.state || before.incarnation !== after.incarnation) return true
  if (before.details.draining !== after.details.draining) return true
  return joinServiceNames(before) !== joinServiceNames(after)
}

function joinServiceNames (member: Member): string {
  return member.details.pools.map((pool) => pool.service).sort().join(' ')
}
