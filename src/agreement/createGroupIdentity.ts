import { createHash } from 'node:crypto'
import { MemberRole } from './MemberRole.js'
import type { ReplicaMember } from './ReplicaMember.js'

/**
 * Lists the first members of a group in the order that is the same at each host.
 *
 * @param members - identities and addresses of the first members
 */
export function listFirstMembers (members: ReadonlyArray<Pick<ReplicaMember, 'identity' | 'address'>>): ReplicaMember[] {
  return members
    .map(({ identity, address }) => ({ identity, address, role: MemberRole.Voter }))
    .sort((left, right) => left.identity < right.identity ? -1 : 1)
}

/**
 * @param members - identities and addresses of the first members
 * @returns identity of the group that they form
 */
export function createGroupIdentity (members: ReadonlyArray<Pick<ReplicaMember, 'identity' | 'address'>>): string {
  return createHash('sha256').update(JSON.stringify(listFirstMembers(members))).digest('hex')
}
