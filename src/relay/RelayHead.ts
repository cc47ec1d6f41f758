import type { AnswerReport } from '../steering/PoolReport.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import type { HeaderField, RelayedRequest } from './RelayedRequest.js'

/** Head of a request that one host passes on to another; its body is the message's body. */
export interface RelayHead {
  id: string
  service: string
  method: string
  path: string
  headers: HeaderField[]
  requestClass: RequestClass
  key: string | undefined
  /** Time left until the answer is due, in milliseconds. */
  remainingMilliseconds: number
  fingerprint: string
  mayWait: boolean
  /** Upstreams that may have died of the request, as far as the host that passes it on knows. */
  lostUpstreams: string[]
  /** Region of the host that passes it on; the answer goes back there. */
  fromRegion: string
}

/** Head of the answer to a request that was passed on. */
export interface RelayAnswerHead {
  id: string
  outcome: Outcome
  reason: RefusalReason | undefined
  /** Upstreams that may have died of the request, as far as the owner knows. */
  lostUpstreams: string[]
  status: number
  headers: HeaderField[]
  pool: AnswerReport | undefined
}

/** Header of the answer's head on the peer listener. */
export const ANSWER_HEAD_HEADER = 'hibiscusrelay-answer'

/**
 * @param request - the request
 * @param fromRegion - region of the host that passes it on
 * @param lostUpstreams - upstreams that may have died of it
 * @returns the head of the request, as it is passed on
 */
export function createRelayHead (request: RelayedRequest, fromRegion: string, lostUpstreams: string[]): RelayHead {
  const { id, service, method, path, headers, requestClass, key, fingerprint, mayWait } = request
  return { id, service, method, path, headers, requestClass, key, fingerprint, mayWait, fromRegion, lostUpstreams, remainingMilliseconds: request.deadline - performance.now() }
}

/** Encodes a head as a header value. */
export function encodeHead (head: RelayHead | RelayAnswerHead): string {
  return Buffer.from(JSON.stringify(head)).toString('base64url')
}

/** Decodes a head that {@link encodeHead} made. */
export function decodeHead<Head extends RelayHead | RelayAnswerHead> (text: string): Head {
  return JSON.parse(Buffer.from(text, 'base64url').toString()) as Head
}
