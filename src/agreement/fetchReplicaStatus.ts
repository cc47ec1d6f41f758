import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { ReplicaStatus } from './ReplicaStatus.js'

/**
 * Requests the status of the replica at an address.
 *
 * @param callPeer - calls a peer method
 * @param address - peer address of the replica, `ip:port`
 * @param timeoutMilliseconds - timeout of the call
 * @returns the status, undefined when the call failed
 */
export async function fetchReplicaStatus (callPeer: CallPeer, address: string, timeoutMilliseconds: number): Promise<ReplicaStatus | undefined> {
  try {
    return await callPeer<ReplicaStatus>(address, PeerMethod.ReplicaStatus, {}, timeoutMilliseconds)
  } catch {
    return undefined
  }
}
