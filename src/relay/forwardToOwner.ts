import type { Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { PeerSignature } from '../transport/PeerSignature.js'
import { SIGNATURE_HEADER } from '../transport/PeerSignature.js'
import { RELAY_HEAD_HEADER, RELAY_PATH } from '../transport/relayPath.js'
import { RequestClass } from '../types/RequestClass.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { joinSignals } from '../utils/joinSignals.js'
import { exchange, type AnswerHead, type AnswerLimits, type ExchangeAnswer } from './exchange.js'
import { answerFailedExchange } from './answerFailedExchange.js'
import { discardAnswer } from './discardAnswer.js'
import type { PoisonGuard } from './PoisonGuard.js'
import { answerUnknown, refuse } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'
import type { HeaderField, RelayedRequest } from './RelayedRequest.js'
import { ANSWER_HEAD_HEADER, decodeHead, createRelayHead, encodeHead, type RelayAnswerHead } from './RelayHead.js'

/** Bytes of a message between hosts in addition to its head and body. */
export const MESSAGE_OVERHEAD_BYTES = 300

/** Connection to an owner on another host, and the budgets for it. */
export interface OwnerConnection extends AnswerLimits {
  address: string
  /** Known losses of upstreams; the request carries those of its fingerprint to the owner, and the answer carries the owner's back. */
  poison: PoisonGuard
  /** Aborted once the owner is suspected or considered lost. */
  gone: AbortSignal
  /** Takes a retry from the budget of the service; false when it is used up. */
  takeRetry: () => boolean
  /** Region of the local host. */
  fromRegion: string
  /** Takes bytes from the budget of the link to the owner; false when it is used up. */
  trySpend: (bytes: number) => boolean
  connections: Dispatcher
  signature: PeerSignature
}

/**
 * Forwards a request to the host that owns the pool.
 *
 * @param request - the request to forward
 * @param owner - connection to the owner
 * @returns the owner's answer; without one, whether the request may have run
 */
export async function forwardToOwner (request: RelayedRequest, owner: OwnerConnection): Promise<RelayAnswer> {
  const head = encodeRequestHead(request, owner)
  if (!owner.trySpend(head.length + request.body.length + MESSAGE_OVERHEAD_BYTES)) return refuse(RefusalReason.LinkBudget)
  const abandonment = new AbortController()
  // A suspected owner may be alive, so its answer is awaited unless the request may be sent again within the retry budget.
  const abandon = (): void => { if (request.requestClass === RequestClass.Idempotent && owner.takeRetry()) abandonment.abort() }
  owner.gone.addEventListener('abort', abandon)
  const cancelled = joinSignals([request.cancelled, abandonment.signal])
  try {
    const answer = await exchange(owner.connections, {
      peer: owner.address,
      method: 'POST',
      path: RELAY_PATH,
      headers: () => composeHeaders(request, owner),
      body: request.body,
      deadline: request.deadline,
      cancelled: cancelled.signal,
      answerBufferBytes: owner.answerBufferBytes,
      answerBudget: owner.answerBudget,
      releaseAfter: request.releaseAfter,
      closeConnection: false,
      // The connection of an answer to another request would stay one answer behind.
      isHeadSufficient: (head) => findAnswerHead(head)?.id !== request.id,
      mayWrite: request.mayStart
    })
    return readOwnerAnswer(answer, request, owner)
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error
    if (error.failure === ExchangeFailure.Unreachable) return refuse(RefusalReason.OwnerUnreachable)
    const isAbandoned = error.failure === ExchangeFailure.Cancelled && !request.cancelled.aborted
    if (isAbandoned) return error.written ? { ...answerUnknown(RefusalReason.AnswerLost), retryTaken: true } : refuse(RefusalReason.OwnerUnreachable)
    return answerFailedExchange(error)
  } finally {
    owner.gone.removeEventListener('abort', abandon)
    cancelled.release()
  }
}

/** @returns the head that an owner sent with an answer, undefined when there is none that can be read */
function findAnswerHead ({ headers }: AnswerHead): RelayAnswerHead | undefined {
  const field = headers.find(({ name }) => name === ANSWER_HEAD_HEADER)
  if (field === undefined) return undefined
  try {
    return decodeHead<RelayAnswerHead>(field.value)
  } catch {
    // The caller reports the answer as lost.
    return undefined
  }
}

function readOwnerAnswer (answer: ExchangeAnswer, request: RelayedRequest, owner: OwnerConnection): RelayAnswer {
  const answerHead = findAnswerHead(answer)
  if (answerHead?.id !== request.id) throw new ExchangeError(ExchangeFailure.Broken, owner.address, true)
  const { id, lostUpstreams, isEndConfirmed, ...rest } = answerHead
  if (lostUpstreams.length > 0) owner.poison.recordLoss({ fingerprint: request.fingerprint, lostUpstreams })
  if (rest.endsWithConnection === true && isEndConfirmed !== true) {
    discardAnswer(answer)
    throw new ExchangeError(ExchangeFailure.Broken, owner.address, true, new Error(errorTexts.answerEndNotConfirmed()))
  }
  return { ...rest, body: answer.body }
}

function encodeRequestHead (request: RelayedRequest, { fromRegion, poison }: OwnerConnection): string {
  return encodeHead(createRelayHead(request, fromRegion, poison.describe(request.fingerprint).lostUpstreams))
}

function composeHeaders (request: RelayedRequest, owner: OwnerConnection): HeaderField[] {
  const head = encodeRequestHead(request, owner)
  const signature = owner.signature.sign({ path: RELAY_PATH, head, body: request.body })
  return [{ name: RELAY_HEAD_HEADER, value: head }, { name: SIGNATURE_HEADER, value: signature }]
}
