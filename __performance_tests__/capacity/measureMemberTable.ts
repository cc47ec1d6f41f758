import { MemberTable } from '../../src/membership/MemberTable.js'
import type { Member } from '../../src/types/Member.js'
import { MemberState } from '../../src/types/MemberState.js'
import { collectGarbage } from '../support/collectGarbage.js'
import { makeHost } from './makeHost.js'

const TABLES = 10
const HOSTS_PER_DOMAIN = 73

/** Memory of the member records that one host keeps. */
export interface MemberTableFigures {
  hosts: number
  heldBytes: number
}

/**
 * @param hosts - number of hosts in the member table
 * @returns heap bytes of one table, as the mean of several
 */
export function measureMemberTable (hosts: number): MemberTableFigures {
  collectGarbage()
  const heapBytesBefore = process.memoryUsage().heapUsed
  const tables = Array.from({ length: TABLES }, () => createFilledTable(hosts))
  collectGarbage()
  const heldBytes = (process.memoryUsage().heapUsed - heapBytesBefore) / tables.length
  return { hosts, heldBytes }
}

function createFilledTable (hosts: number): MemberTable {
  const table = new MemberTable(() => {})
  for (let index = 0; index < hosts; index++) {
    const host = makeHost(Math.floor(index / HOSTS_PER_DOMAIN), index % HOSTS_PER_DOMAIN)
    const pools = [{ service: `service-${index}`, upstreams: 4, slots: 28, freeSlots: 12 }]
    const member: Member = { host, state: MemberState.Alive, incarnation: 1_796_375_870_000, version: 3, details: { draining: false, sheetNumber: 5500, pools } }
    table.apply(JSON.parse(JSON.stringify(member)) as Member)
  }
  return table
}
