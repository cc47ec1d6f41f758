import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { MemberStatus } from './LedgerMessages.js'

/**
 * Reads the statuses of ledger hosts in parallel.
 *
 * @param callPeer - calls a ledger host
 * @param hosts - peer addresses of the ledger hosts
 * @param domain - their failure domain
 * @param timeoutMilliseconds - timeout of each call
 * @returns the statuses of the hosts that answered in time
 */
export async function readStatuses (callPeer: CallPeer, hosts: string[], domain: string, timeoutMilliseconds: number): Promise<MemberStatus[]> {
  const statuses = await Promise.all(hosts.map(async (address) => {
    return await callPeer<MemberStatus>(address, PeerMethod.LedgerRead, { domain }, timeoutMilliseconds).catch(() => undefined)
  }))
  return statuses.filter((status) => status !== undefined)
}
