import type { Member } from '../types/Member.js'

/**
 * Tells changes that steer traffic from changes of load figures.
 *
 * @param before - the record before, undefined when the host was unknown
 * @param after - the record after
 * @returns whether life, draining or the owned pools changed
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
