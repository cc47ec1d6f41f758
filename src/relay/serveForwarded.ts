import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import type { StopWindow } from '../limits/StopWindow.js'
import { createRelease } from '../transport/createRelease.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { deliverBody, createLengthHeader } from './deliverBody.js'
import { MESSAGE_OVERHEAD_BYTES } from './forwardToOwner.js'
import type { Owner } from './Owner.js'
import type { PoisonGuard } from './PoisonGuard.js'
import { answerUnknown } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'
import type { RelayedRequest } from './RelayedRequest.js'
import { ANSWER_HEAD_HEADER, decodeHead, encodeHead, type RelayHead } from './RelayHead.js'

const LINK_RETRY_MILLISECONDS = 10

/** A request that another host forwarded, with the owner and the budget that serve it. */
export interface ForwardedRequest {
  owner: Owner
  /** Known losses of upstreams. */
  poison: PoisonGuard
  /** Decides which requests a stopping owner may still send to upstreams. */
  stopWindow: Pick<StopWindow, 'admits'>
  /** Takes bytes from the budget of the link to a region; false when it is used up. */
  spendLink: (toRegion: string, bytes: number) => boolean
  /** Head of the request, encoded as received. */
  encodedHead: string
  body: Buffer
}

/**
 * Serves a request that another host forwarded.
 *
 * @param forwarded - the request, with the owner and the budget that serve it
 * @param message - the message that carried the request
 * @param response - response to the forwarding host
 */
export async function serveForwarded (forwarded: ForwardedRequest, message: IncomingMessage, response: ServerResponse): Promise<void> {
  const { remainingMilliseconds, fromRegion, lostUpstreams, ...head } = decodeHead<RelayHead>(forwarded.encodedHead)
  const cancellation = new AbortController()
  response.once('close', () => { if (!response.writableEnded) cancellation.abort() })
  if (message.destroyed && !message.complete) return
  const deadline = performance.now() + remainingMilliseconds
  const request: RelayedRequest = { ...head, body: forwarded.body, deadline, mayStart: () => forwarded.stopWindow.admits(deadline), cancelled: cancellation.signal, releaseAfter: createRelease(response) }
  const { poison } = forwarded
  if (lostUpstreams.length > 0) poison.recordLoss({ fingerprint: head.fingerprint, lostUpstreams })
  const trySpend = (bytes: number): boolean => forwarded.spendLink(fromRegion, bytes)
  const encodeAnswerHead = ({ outcome, reason, status, headers, endsWithConnection, pool }: RelayAnswer): string => {
    return encodeHead({ id: request.id, outcome, reason, status, headers, endsWithConnection, isEndConfirmed: endsWithConnection, pool, lostUpstreams: poison.describe(head.fingerprint).lostUpstreams })
  }
  const ownerAnswer = await forwarded.owner.serve(request)
  const ownerAnswerHead = encodeAnswerHead(ownerAnswer)
  const answer = await waitForLinkBudget(ownerAnswer, ownerAnswerHead.length, request, trySpend)
  const answerHead = answer === ownerAnswer ? ownerAnswerHead : encodeAnswerHead(answer)
  response.writeHead(200, { [ANSWER_HEAD_HEADER]: answerHead, ...createLengthHeader(answer.body) })
  await deliverBody(Buffer.isBuffer(answer.body) ? answer.body : createPacedBody(answer.body, trySpend), response)
}

/** Waits until the link budget allows the answer. After the deadline the answer is lost, and its outcome is reported as unknown. */
async function waitForLinkBudget (answer: RelayAnswer, headBytes: number, request: RelayedRequest, trySpend: (bytes: number) => boolean): Promise<RelayAnswer> {
  const bytes = headBytes + countBytes(answer)
  while (!trySpend(bytes)) {
    if (performance.now() >= request.deadline || request.cancelled.aborted) return { ...answerUnknown(RefusalReason.LinkBudget), pool: answer.pool }
    await sleep(LINK_RETRY_MILLISECONDS)
  }
  return answer
}

/** Counts the bytes of an answer without its head; those of a streamed body are counted as they are sent. */
function countBytes (answer: RelayAnswer): number {
  return MESSAGE_OVERHEAD_BYTES + (Buffer.isBuffer(answer.body) ? answer.body.length : 0)
}

/** A body that breaks off ends the paced one at once, also while its receiver reads nothing. */
function createPacedBody (body: Readable, trySpend: (bytes: number) => boolean): Readable {
  const pacedBody = Readable.from(paceBody(body, trySpend))
  body.once('error', (error) => { pacedBody.destroy(error) })
  return pacedBody
}

async function * paceBody (body: Readable, trySpend: (bytes: number) => boolean): AsyncGenerator<Buffer> {
  for await (const chunk of body as AsyncIterable<Buffer>) {
    while (!body.destroyed && !trySpend(chunk.length)) await sleep(LINK_RETRY_MILLISECONDS)
    yield chunk
  }
}
