import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { AnswerBudget } from './AnswerBudget.js'
import { AnswerCollector } from './AnswerCollector.js'
import type { Readable } from 'node:stream'
import type { HeaderField } from './RelayedRequest.js'
import type { SeparatorOptions } from './SeparatorOptions.js'

/** Age up to which a head with the time left is written; a connection between regions takes 110 ms to open. */
const MAXIMUM_HEAD_AGE_MILLISECONDS = 50

/** Limits on the buffering of an answer. */
export interface AnswerLimits {
  /** Answers up to this size are read completely before the exchange resolves. */
  answerBufferBytes: number
  /** Bounds the answers of all upstreams together: one that no longer fits is passed on while it arrives, or fails. */
  answerBudget?: AnswerBudget
}

/** One HTTP request to an upstream or another host. */
export interface ExchangeRequest extends AnswerLimits {
  /** Address of the remote side, for errors. */
  peer: string
  method: string
  path: string
  /** Header fields, or a function that composes them if they tell the time left; it is called again when a connection is ready late. */
  headers: HeaderField[] | (() => HeaderField[])
  body: Buffer
  /** Time at which the answer is due, on the clock of `performance.now()`. */
  deadline: number
  cancelled: AbortSignal
  /** Called with a function that releases the memory of a complete answer, once its receiver has it; by default that is released at once. */
  releaseAfter?: (release: () => void) => void
  /** Whether to close the connection after the answer. */
  closeConnection: boolean
  /** Whether the head of an answer is all that is needed of it. Its connection is closed then; by default never. */
  isHeadSufficient?: (head: AnswerHead) => boolean
  /** Called with the head of each answer that arrives, whatever becomes of it. */
  onHead?: (head: AnswerHead) => void
  /** How a further answer is recognized within an answer that the end of the connection delimits; by default none is. */
  separator?: SeparatorOptions
  /** Called right before the first byte is written; false prevents it. */
  mayWrite: () => boolean
  /** Called when the request is about to be written; from then on it may run. */
  onWrite?: () => void
  /**
   * Called when the connection ended in order behind an answer that only its end delimits; resolves with whether the answer is
   * whole. The answer waits for it within its deadline. By default no such answer is whole.
   */
  confirmEnd?: () => Promise<boolean>
}

/** Status and headers of an answer. */
export type AnswerHead = Pick<ExchangeAnswer, 'status' | 'headers'>

/** The answer to an {@link ExchangeRequest}. */
export interface ExchangeAnswer {
  status: number
  headers: HeaderField[]
  /** The complete body, or a stream of a body larger than the buffer. */
  body: Buffer | Readable
  /** Whether only the end of the connection delimits the body. Such a body is small; a length would claim more than is known of it. */
  endsWithConnection: boolean
  /** Resolves with undefined when the last byte of the answer has arrived, or with the failure that ended it before. */
  finished: Promise<ExchangeFailure | undefined>
}

/**
 * Sends one request and reads its answer.
 * The request is sent at most once, on one connection, with no other request on it.
 *
 * @param dispatcher - connections to the remote side
 * @param request - the request to send
 * @returns the answer; the body of a large one is a stream
 * @throws {@link ExchangeError} when no complete answer, or no beginning of a large one, arrived in time
 */
export async function exchange (dispatcher: Dispatcher, request: ExchangeRequest): Promise<ExchangeAnswer> {
  for (;;) {
    try {
      return await dispatch(dispatcher, request)
    } catch (error) {
      if (!(error instanceof ExchangeError) || error.failure !== ExchangeFailure.Stale) throw error
    }
  }
}

async function dispatch (dispatcher: Dispatcher, request: ExchangeRequest): Promise<ExchangeAnswer> {
  const { headers } = request
  const composedAt = performance.now()
  const isStale = (): boolean => typeof headers === 'function' && performance.now() - composedAt > MAXIMUM_HEAD_AGE_MILLISECONDS
  const collector = new AnswerCollector(request, isStale)
  dispatcher.dispatch({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: (typeof headers === 'function' ? headers() : headers).flatMap(({ name, value }) => [name, value]),
    body: request.body.length > 0 ? request.body : null,
    reset: request.closeConnection,
    headersTimeout: 0,
    bodyTimeout: 0
  }, collector)
  return await collector.answer
}
