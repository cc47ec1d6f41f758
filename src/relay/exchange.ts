import type { Dispatcher } from 'undici'
import { AnswerCollector } from './AnswerCollector.js'
import type { Readable } from 'node:stream'
import type { HeaderField } from './RelayedRequest.js'

/** One HTTP request to an upstream or another host. */
export interface ExchangeRequest {
  /** Address of the other side, for errors. */
  peer: string
  method: string
  path: string
  headers: HeaderField[]
  body: Buffer
  /** When the answer is due, on the clock of `performance.now()`. */
  deadline: number
  cancelled: AbortSignal
  /** Answers up to this size are read whole before the exchange resolves. */
  answerBufferBytes: number
  /** Whether to close the connection after the answer. */
  closeConnection: boolean
  /** Asked right before the first byte is written; false forbids it. */
  mayWrite: () => boolean
}

/** The answer to an {@link ExchangeRequest}. */
export interface ExchangeAnswer {
  status: number
  headers: HeaderField[]
  /** The whole body, or a stream of a body larger than the buffer. */
  body: Buffer | Readable
  /** Whether only the end of the connection tells where the body ends, so that a part can't be told from the whole. */
  endsWithConnection: boolean
  /** Settles when the last byte of the answer has come or the connection is gone. */
  finished: Promise<void>
}

/**
 * Sends one request and reads its answer.
 * It is sent at most once, on one connection, with no other request on it.
 *
 * @param dispatcher - connections to the other side
 * @param request - the request
 * @throws {@link ExchangeError} when no whole answer, or no start of a large one, came in time
 */
export async function exchange (dispatcher: Dispatcher, request: ExchangeRequest): Promise<ExchangeAnswer> {
  const collector = new AnswerCollector(request)
  dispatcher.dispatch({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: request.headers.flatMap(({ name, value }) => [name, value]),
    body: request.body.length > 0 ? request.body : null,
    reset: request.closeConnection,
    headersTimeout: 0,
    bodyTimeout: 0
  }, collector)
  return await collector.answer
}
