import type { Member } from '../types/Member.js'

/**
 * Compares two views of the members in everything that affects the entry hosts of guests; load figures do not.
 *
 * @param before - members of the earlier view
 * @param after - members of the later view
 * @returns whether both views result in the same entry hosts in the same order
 */
export function hasSameEntryHosts (before: readonly Member[], after: readonly Member[]): boolean {
  return before.length === after.length && before.every((member, index) => isSameMember(member, after[index]!))
}

function isSameMember (before: Member, after: Member): boolean {
  if (before === after) return true
  if (before.state !== after.state || before.details.draining !== after.details.draining) return false
  if ((before.details.sheetNumber > 0) !== (after.details.sheetNumber > 0)) return false
  const [left, right] = [before.host, after.host]
  return left.name === right.name && left.domain === right.domain && left.region === right.region && left.guestAddress === right.guestAddress
}
