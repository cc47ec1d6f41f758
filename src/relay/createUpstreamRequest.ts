import type { AnswerHead, AnswerLimits, ExchangeRequest } from './exchange.js'
import { HeadOrigin } from './HeadOrigin.js'
import { findEchoedRequest, isAnswerOfAnother, REQUEST_HEADER } from './isAnswerOfAnother.js'
import type { RepeatedAnswer } from './RepeatedAnswer.js'
import { isShed, SHED_HEADER } from './isShed.js'
import type { HeaderField, RelayedRequest } from './RelayedRequest.js'
import type { Upstream } from './Upstream.js'

/**
 * Creates the request that is sent to an upstream.
 *
 * @param request - the guest's request
 * @param upstream - the receiving upstream
 * @param limits - limits on the buffering of the answer
 * @param onRepeatedAnswer - called when the upstream wrote a further answer behind one without a length
 */
export function createUpstreamRequest (request: RelayedRequest, upstream: Upstream, limits: AnswerLimits, onRepeatedAnswer: (found: RepeatedAnswer) => void): ExchangeRequest {
  return {
    peer: upstream.address,
    method: request.method,
    path: request.path,
    headers: () => composeHeaders(request, upstream),
    body: request.body,
    deadline: request.deadline,
    cancelled: request.cancelled,
    answerBufferBytes: limits.answerBufferBytes,
    answerBudget: limits.answerBudget,
    releaseAfter: request.releaseAfter,
    closeConnection: !upstream.echoesRequest,
    // A faulty upstream may write an answer or a refusal again on a connection that is kept: nothing more is read from it.
    isHeadSufficient: (head) => isShed(head) || isAnswerOfAnother(request, upstream, head),
    separator: { identify: (head) => identifyHead(request, head), onFound: onRepeatedAnswer },
    mayWrite: () => upstream.isGranted() && request.mayStart()
  }
}

function identifyHead ({ id }: RelayedRequest, head: AnswerHead): HeadOrigin {
  const echoed = findEchoedRequest(head)
  if (echoed === id) return HeadOrigin.SameRequest
  const isMarked = echoed !== undefined || head.headers.some(({ name }) => name === SHED_HEADER)
  return isMarked ? HeadOrigin.Upstream : HeadOrigin.Unknown
}

function composeHeaders (request: RelayedRequest, upstream: Upstream): HeaderField[] {
  const remainingMilliseconds = Math.max(1, Math.floor(request.deadline - performance.now()))
  const headers: HeaderField[] = [
    ...request.headers,
    { name: 'host', value: upstream.address },
    { name: REQUEST_HEADER, value: request.id },
    { name: 'hibiscusrelay-deadline', value: String(remainingMilliseconds) }
  ]
  if (request.key !== undefined) headers.push({ name: 'idempotency-key', value: request.key })
  return headers
}
