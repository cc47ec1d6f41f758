import type { CallPeer } from '../../transport/CallPeer.js'
import { PeerMethod } from '../../types/PeerMethod.js'
import type { RevisionReply } from './RevisionReply.js'
import type { RevisionRequest } from './RevisionRequest.js'

/**
 * Requests the revision of the sheet in force at a host.
 *
 * @param callPeer - calls a peer method
 * @param address - peer address of the host, `ip:port`
 * @param request - revision that the caller has, and the maximum wait for a higher one
 * @param timeoutMilliseconds - timeout of the call, in addition to that wait
 * @returns the answer, undefined when the call failed
 */
export async function fetchRevision (callPeer: CallPeer, address: string, request: RevisionRequest, timeoutMilliseconds: number): Promise<RevisionReply | undefined> {
  try {
    return await callPeer<RevisionReply>(address, PeerMethod.SheetRevision, request, request.waitMilliseconds + timeoutMilliseconds)
  } catch {
    return undefined
  }
}
