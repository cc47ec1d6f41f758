import type { AnswerReport } from '../steering/PoolReport.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import type { HeaderField, RelayedRequest } from './RelayedRequest.js'

/** Head of a request that one host forwards to another; the body of the request is the body of the message. */
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
  /** Upstreams that may have died of the request, as far as the forwarding host knows. */
  lostUpstreams: string[]
  /** Region of the forwarding host, to which the answer returns. */
  fromRegion: string
}

/** Head of the answer to a forwarded request. */
export interface RelayAnswerHead {
  id: string
  outcome: Outcome
  reason: RefusalReason | undefined
  /** Upstreams that may have died of the request, as far as the owner knows. */
  lostUpstreams: string[]
  status: number
  headers: HeaderField[]
  /** Whether only the end of the upstream's connection delimits the body. */
  endsWithConnection?: boolean
  /** Whether the upstream was alive after that end; earlier versions do not look. */
  isEndConfirmed?: boolean
  pool: AnswerReport | undefined
}

/** Header that carries the answer's head on the peer listener. */
export const ANSWER_HEAD_HEADER = 'hibiscusrelay-answer'

/**
 * Creates the head of a forwarded request.
 *
 * @param request - the request to forward
 * @param fromRegion - region of the forwarding host
 * @param lostUpstreams - upstreams that may have died of the request
 * @returns the head, with the time that remains from now on
 */
export function createRelayHead (request: RelayedRequest, fromRegion: string, lostUpstreams: string[]): RelayHead {
  const { id, service, method, path, headers, requestClass, key, fingerprint, mayWait } = request
  return { id, service, method, path, headers, requestClass, key, fingerprint, mayWait, fromRegion, lostUpstreams, remainingMilliseconds: request.deadline - performance.now() }
}

/** Encodes a head as a header value. */
export function encodeHead (head: RelayHead | RelayAnswerHead): string {
  return Buffer.from(JSON.stringify(head)).toString('base64url')
}

/** Decodes a head that {@link encodeHead} encoded. */
export function decodeHead<Head extends RelayHead | RelayAnswerHead> (text: string): Head {
  return JSON.parse(Buffer.from(text, 'base64url').toString()) as Head
}
