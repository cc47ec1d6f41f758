import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { MessageMemory } from '../limits/MessageMemory.js'
import { PieceBuffer } from '../utils/PieceBuffer.js'
import { AnswerFlow } from './AnswerFlow.js'
import { AnswerStream } from './AnswerStream.js'
import { classifyExchangeError } from './classifyExchangeError.js'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.js'
import { findCopy } from './findCopy.js'
import { BODILESS_STATUSES, hasDelimitedBody, type AnswerFraming } from './hasDelimitedBody.js'
import { listHeaders } from './listHeaders.js'
import type { HeaderField } from './RelayedRequest.js'
import { RepeatedAnswer } from './RepeatedAnswer.js'
import { separateAnswers } from './separateAnswers.js'

/**
 * Largest body that a guest gets delimited by the end of its connection. Unless answers before it are still unread, the kernel
 * takes this much in one write, so that a host that is killed has passed on all of it or nothing: its connections end in order,
 * and a part of the body would look whole.
 */
const MAXIMUM_UNDELIMITED_BYTES = 32_768
const ANSWER_DISCARDED = 'the rest of the answer is not needed'
/** Pause behind each part of an answer that is read only to see its end, in milliseconds; a part has up to 64 KB. */
const DISCARD_PAUSE_MILLISECONDS = 250
/** Interim responses (status 1xx) precede the answer; they are no part of it. */
const MINIMUM_FINAL_STATUS = 200
/** Statuses that HTTP has (RFC 9110, 15): the server side of the HTTP library cannot write one below, and guests cannot know one above. */
const MINIMUM_STATUS = 100
const MAXIMUM_STATUS = 599

/** Handles one exchange: records whether bytes were written, collects the answer and enforces the deadline. */
export class AnswerCollector implements Dispatcher.DispatchHandler {
  readonly answer: Promise<ExchangeAnswer>
  /** Resolves with undefined when the whole answer has arrived, or with the failure that ended the exchange before. */
  readonly finished: Promise<ExchangeFailure | undefined>
  readonly #request: ExchangeRequest
  readonly #isStale: () => boolean
  readonly #timer: NodeJS.Timeout
  readonly #onCancelled = () => { this.#cancel() }
  readonly #pieces = new PieceBuffer()
  readonly #memory: MessageMemory | undefined
  readonly #flow = new AnswerFlow()
  #resolve!: (answer: ExchangeAnswer) => void
  #reject!: (error: ExchangeError) => void
  #resolveFinished!: (failure: ExchangeFailure | undefined) => void
  #controller: Dispatcher.DispatchController | undefined
  #failure: ExchangeFailure | undefined
  #isWritten = false
  #hasEnded = false
  #status = 0
  #headers: HeaderField[] = []
  #endsWithConnection = false
  /** Whether an answer that ends with its connection does not fit into the buffer. */
  #isTooLarge = false
  #stream: AnswerStream | undefined

  /**
   * @param request - the exchange to handle
   * @param isStale - returns whether the head that was dispatched must not be written any more; by default never
   */
  constructor (request: ExchangeRequest, isStale: () => boolean = () => false) {
    this.#request = request
    this.#isStale = isStale
    this.#memory = request.answerBudget?.open()
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    this.finished = new Promise((resolve) => { this.#resolveFinished = resolve })
    this.#timer = setTimeout(() => { this.#abort(ExchangeFailure.TimedOut) }, Math.max(0, request.deadline - performance.now()))
    request.cancelled.addEventListener('abort', this.#onCancelled, { once: true })
    if (request.cancelled.aborted) this.#abort(ExchangeFailure.Cancelled)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    this.#flow.begin(controller)
    // Nothing was written yet: an error thrown here discards only the request; abort would also close the connection.
    if (this.#failure !== undefined || this.#hasEnded) throw new Error(this.#failure)
    // The HTTP library may begin again on another connection after the first one ended; the request may have run.
    if (this.#isWritten) {
      this.#abort(ExchangeFailure.Broken)
      return
    }
    if (!this.#request.mayWrite()) {
      this.#abort(ExchangeFailure.Forbidden)
      return
    }
    if (this.#isStale()) {
      this.#failure = ExchangeFailure.Stale
      throw new Error(this.#failure)
    }
    this.#isWritten = true
    this.#request.onWrite?.()
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) return this.#abort(ExchangeFailure.Broken, errorTexts.statusUnknown(status))
    if (status < MINIMUM_FINAL_STATUS) return
    this.#status = status
    this.#headers = listHeaders(headers)
    this.#endsWithConnection = !hasDelimitedBody({ method: this.#request.method, status, headers })
    const head = { status, headers: this.#headers }
    this.#request.onHead?.(head)
    if (this.#request.isHeadSufficient?.(head) === true || isBodilessWithFraming({ method: this.#request.method, status, headers })) this.#endAtHead(controller)
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isTooLarge) return this.#flow.pauseFor(DISCARD_PAUSE_MILLISECONDS)
    const pauseMilliseconds = this.#memory?.recordPiece(chunk.length) ?? 0
    if (pauseMilliseconds > 0) this.#flow.pauseFor(pauseMilliseconds)
    if (this.#stream !== undefined) {
      if (!this.#stream.append(chunk)) this.#flow.markReceiverBusy()
      return
    }
    const isWithinBuffer = this.#pieces.length + chunk.length <= this.#request.answerBufferBytes
    if (isWithinBuffer && this.#memory?.tryTake(this.#pieces.measureGrowth(chunk.length)) !== false) this.#pieces.append(chunk)
    else if (this.#endsWithConnection) this.#giveUpBody()
    else this.#beginStream(chunk)
  }

  onResponseEnd (): void {
    if (this.#stream !== undefined) {
      this.#markEnded(undefined)
      this.#stream.complete()
      return
    }
    // The library does no more for this exchange: what ends it from here on, ends it at once.
    this.#controller = undefined
    if (this.#isTooLarge) return this.#markEnded(ExchangeFailure.Undelimited)
    const firstBody = this.#separate(this.#pieces.take())
    if (firstBody === undefined) return this.#abort(ExchangeFailure.Broken, errorTexts.answerEndUnknown())
    if (!this.#endsWithConnection) return this.#finish(firstBody)
    if (firstBody.length > MAXIMUM_UNDELIMITED_BYTES) return this.#abort(ExchangeFailure.Undelimited, errorTexts.undelimitedAnswerTooLarge(MAXIMUM_UNDELIMITED_BYTES))
    this.#confirmEnd(firstBody).catch((error: unknown) => { this.#abort(ExchangeFailure.Broken, String(error)) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, cause: Error): void {
    if (this.#hasEnded) return
    const failure = this.#failure ?? classifyExchangeError(cause, this.#isWritten)
    this.#markEnded(failure)
    const error = new ExchangeError(failure, this.#request.peer, this.#isWritten && failure !== ExchangeFailure.Stale, cause)
    this.#stream?.destroy(error)
    this.#reject(error)
  }

  async #confirmEnd (body: Buffer): Promise<void> {
    const isConfirmed = await this.#request.confirmEnd?.()
    if (isConfirmed !== true) return this.#abort(ExchangeFailure.Broken, errorTexts.answerEndNotConfirmed())
    // Its deadline may have passed, or its receiver may have left meanwhile.
    if (!this.#hasEnded) this.#finish(body)
  }

  #finish (body: Buffer): void {
    this.#markEnded(undefined)
    this.#resolve(this.#createAnswer(body))
  }

  /** Resolves without a body, and closes the connection: bytes that follow on it would reach the next request. */
  #endAtHead (controller: Dispatcher.DispatchController): void {
    this.#markEnded(undefined)
    this.#resolve(this.#createAnswer(Buffer.alloc(0)))
    controller.abort(new Error(ANSWER_DISCARDED))
  }

  #beginStream (chunk: Buffer): void {
    const { answerBudget } = this.#request
    if (answerBudget?.tryBeginStream() === false) return this.#abort(ExchangeFailure.Broken, errorTexts.tooManyLargeAnswers())
    const stream = new AnswerStream(() => {
      this.#memory?.release()
      this.#flow.markReceiverReady()
    })
    stream.once('close', () => {
      this.#memory?.release()
      answerBudget?.endStream()
      if (!this.#hasEnded) this.#abort(ExchangeFailure.Cancelled)
    })
    stream.on('error', () => {})
    this.#stream = stream
    stream.append(this.#pieces.take())
    if (!stream.append(chunk)) this.#flow.markReceiverBusy()
    this.#resolve(this.#createAnswer(stream))
  }

  /** @returns the first answer in a body, undefined when it is not known where that ends */
  #separate (body: Buffer): Buffer | undefined {
    const { separator } = this.#request
    if (separator === undefined) return body
    const separated = this.#endsWithConnection ? separateAnswers(body, this.#status, separator.identify) : findCopy(body, separator.identify)
    if (separated.found !== undefined) separator.onFound(separated.found)
    return separated.found === RepeatedAnswer.Ambiguous ? undefined : separated.body
  }

  /**
   * Fails an answer that cannot be passed on. Its connection stays open until it ends or the deadline, because its upstream
   * may be at work until the end of the answer; what nobody needs is read slowly, only to see that end.
   */
  #giveUpBody (): void {
    this.#isTooLarge = true
    this.#pieces.clear()
    this.#memory?.release()
    this.#flow.pauseFor(DISCARD_PAUSE_MILLISECONDS)
    this.#reject(new ExchangeError(ExchangeFailure.Undelimited, this.#request.peer, true, new Error(errorTexts.undelimitedAnswerTooLarge(MAXIMUM_UNDELIMITED_BYTES)), this.finished))
  }

  #createAnswer (body: Buffer | AnswerStream): ExchangeAnswer {
    return { status: this.#status, headers: this.#headers, body, endsWithConnection: this.#endsWithConnection, finished: this.finished }
  }

  /**
   * Closes the connection of a request that is no longer wanted. A head that has arrived by now but was not read yet is read
   * first, because it may tell something of the upstream: the event loop has read all of it two turns later.
   */
  #cancel (): void {
    const mayHaveHead = this.#isWritten && this.#status === 0
    if (!mayHaveHead) return this.#abort(ExchangeFailure.Cancelled)
    setImmediate(() => { setImmediate(() => { this.#abort(ExchangeFailure.Cancelled) }) })
  }

  #abort (failure: ExchangeFailure, reason: string = failure): void {
    if (this.#hasEnded || this.#failure !== undefined) return
    this.#failure = failure
    const cause = new Error(reason)
    if (this.#controller !== undefined) this.#controller.abort(cause)
    else this.onResponseError(null, cause)
  }

  /** A complete answer takes its memory until its receiver has it. */
  #releaseMemory (failure: ExchangeFailure | undefined): void {
    const release = (): void => { this.#memory?.release() }
    if (failure === undefined && this.#request.releaseAfter !== undefined) this.#request.releaseAfter(release)
    else release()
  }

  #markEnded (failure: ExchangeFailure | undefined): void {
    this.#hasEnded = true
    this.#flow.end()
    if (this.#stream === undefined) this.#releaseMemory(failure)
    clearTimeout(this.#timer)
    this.#request.cancelled.removeEventListener('abort', this.#onCancelled)
    this.#resolveFinished(failure)
  }
}

/** The library would wait for such a body, or fail the answer for its missing bytes. */
function isBodilessWithFraming ({ method, status, headers }: AnswerFraming): boolean {
  if (method === 'HEAD' || !BODILESS_STATUSES.has(status)) return false
  return Number(headers['content-length'] ?? 0) !== 0 || headers['transfer-encoding'] !== undefined
}
