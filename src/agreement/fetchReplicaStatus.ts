import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import type { ReplicaStatus } from './ReplicaStatus.js'

/**
 * Asks the replica at an address for its status.
 *
 * @param callPeer - calls the replica
 * @param address - its peer address
 * @param timeoutMilliseconds - wait for the answer
 * @returns the status, undefined when no answer came
 */
export async function fetchReplicaStatus (callPeer: CallPeer, address: string, timeoutMilliseconds: number): Promise<ReplicaStatus | undefined> {
  try {
    return await callPeer<ReplicaStatus>(address, PeerMethod.ReplicaStatus, {}, timeoutMilliseconds)
  } catch {
    return undefined
  }
}
