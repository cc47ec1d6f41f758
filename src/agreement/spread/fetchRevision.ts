import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import type { RevisionReply } from './RevisionReply.js'
import type { RevisionRequest } from './RevisionRequest.js'

/**
 * Asks a host which sheet is in force there.
 *
 * @param callPeer - calls the host
 * @param address - its peer address
 * @param request - what the caller has, and how long the answer may wait for a higher revision
 * @param timeoutMilliseconds - wait for the answer beyond that
 * @returns the answer, undefined when none came
 */
export async function fetchRevision (callPeer: CallPeer, address: string, request: RevisionRequest, timeoutMilliseconds: number): Promise<RevisionReply | undefined> {
  try {
    return await callPeer<RevisionReply>(address, PeerMethod.SheetRevision, request, request.waitMilliseconds + timeoutMilliseconds)
  } catch {
    return undefined
  }
}
