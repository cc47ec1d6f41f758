import { MemberState, type Member } from '../../src/hibiscusrelay.js'

/** Creates a member `name` whose failure domain is the first two characters of its name; it owns a pool of the service `desk`. */
export function createMember (name: string, changes: Partial<Member> = {}, draining = false): Member {
  const domain = name.slice(0, 2)
  return {
    host: { name, domain, region: domain[0]!, peerAddress: `127.0.0.1:1${name}`, guestAddress: `127.0.0.1:2${name}` },
    state: MemberState.Alive,
    incarnation: 1,
    version: 1,
    details: { draining, sheetNumber: 1, pools: [{ service: 'desk', upstreams: 2, slots: 6, freeSlots: 6 }] },
    ...changes
  }
}
