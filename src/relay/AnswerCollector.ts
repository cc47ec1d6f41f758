import type { IncomingHttpHeaders } from 'node:http'
import { PassThrough } from 'node:stream'
import type { Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import { AnswerSeparator } from './AnswerSeparator.js'
import { CLOSED_ERROR_CODES, UNSENT_ERROR_CODE } from './connectionErrorCodes.js'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.js'
import { hasDelimitedBody } from './hasDelimitedBody.js'
import type { HeaderField } from './RelayedRequest.js'

/** Buffer of an answer that is passed on while it arrives: what its receiver does not read stays at the sender. */
const STREAM_BUFFER_BYTES = 16_384
const ANSWER_DISCARDED = 'the rest of the answer is not needed'
/** Interim responses (status 1xx) precede the answer; they are no part of it. */
const MINIMUM_FINAL_STATUS = 200

/** Handles one exchange: records whether bytes were written, collects the answer and enforces the deadline. */
export class AnswerCollector implements Dispatcher.DispatchHandler {
  readonly answer: Promise<ExchangeAnswer>
  /** Resolves with undefined when the whole answer has arrived, or with the failure that ended the exchange before. */
  readonly finished: Promise<ExchangeFailure | undefined>
  readonly #request: ExchangeRequest
  readonly #isStale: () => boolean
  readonly #timer: NodeJS.Timeout
  readonly #onCancelled = () => { this.#cancel() }
  readonly #chunks: Buffer[] = []
  #resolve!: (answer: ExchangeAnswer) => void
  #reject!: (error: ExchangeError) => void
  #resolveFinished!: (failure: ExchangeFailure | undefined) => void
  #controller: Dispatcher.DispatchController | undefined
  #failure: ExchangeFailure | undefined
  #isWritten = false
  #hasEnded = false
  #status = 0
  #headers: HeaderField[] = []
  #bufferedBytes = 0
  /** Number of these bytes that are taken from the budget. */
  #reservedBytes = 0
  #endsWithConnection = false
  /** Present while an answer arrives behind which a further one could not be told from its body. */
  #separator: AnswerSeparator | undefined
  #stream: PassThrough | undefined

  /**
   * @param request - the exchange to handle
   * @param isStale - returns whether the head that was dispatched must not be written any more; by default never
   */
  constructor (request: ExchangeRequest, isStale: () => boolean = () => false) {
    this.#request = request
    this.#isStale = isStale
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
    if (status < MINIMUM_FINAL_STATUS) return
    this.#status = status
    this.#headers = listHeaders(headers)
    this.#endsWithConnection = !hasDelimitedBody({ method: this.#request.method, status, headers })
    const { separator } = this.#request
    if (this.#endsWithConnection && separator !== undefined) this.#separator = new AnswerSeparator(status, separator)
    const head = { status, headers: this.#headers }
    this.#request.onHead?.(head)
    if (this.#request.isHeadSufficient?.(head) === true) this.#endAtHead(controller)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#stream !== undefined) {
      this.#writeChunk(controller, chunk)
      return
    }
    this.#chunks.push(chunk)
    this.#bufferedBytes += chunk.length
    if (!this.#tryReserve(chunk.length) || this.#bufferedBytes > this.#request.answerBufferBytes) this.#beginStream(controller)
  }

  onResponseEnd (): void {
    const lastBytes = this.#takeLastBytes()
    // The library does no more for this exchange: what ends it from here on, ends it at once.
    this.#controller = undefined
    if (lastBytes === undefined) return this.#abort(ExchangeFailure.Broken, errorTexts.answerEndUnknown())
    if (!this.#endsWithConnection) return this.#finish(lastBytes)
    this.#confirmEnd(lastBytes).catch((error: unknown) => { this.#abort(ExchangeFailure.Broken, String(error)) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, cause: Error): void {
    if (this.#hasEnded) return
    const failure = this.#failure ?? classifyError(cause, this.#isWritten)
    this.#markEnded(failure)
    const error = new ExchangeError(failure, this.#request.peer, this.#isWritten && failure !== ExchangeFailure.Stale, cause)
    this.#stream?.destroy(error)
    this.#reject(error)
  }

  async #confirmEnd (lastBytes: Buffer): Promise<void> {
    const isConfirmed = await this.#request.confirmEnd?.()
    if (isConfirmed !== true) return this.#abort(ExchangeFailure.Broken, errorTexts.answerEndNotConfirmed())
    // Its deadline may have passed, or its receiver may have left meanwhile.
    if (!this.#hasEnded) this.#finish(lastBytes)
  }

  #finish (lastBytes: Buffer): void {
    this.#markEnded(undefined)
    if (this.#stream !== undefined) this.#stream.end(lastBytes)
    else this.#resolve(this.#createAnswer(lastBytes))
  }

  /** Resolves without a body, and closes the connection: bytes that follow on it would reach the next request. */
  #endAtHead (controller: Dispatcher.DispatchController): void {
    this.#markEnded(undefined)
    this.#resolve(this.#createAnswer(Buffer.alloc(0)))
    controller.abort(new Error(ANSWER_DISCARDED))
  }

  #beginStream (controller: Dispatcher.DispatchController): void {
    const { answerBudget } = this.#request
    if (answerBudget?.streams.tryTake(1) === false) return this.#abort(ExchangeFailure.Broken, errorTexts.tooManyLargeAnswers())
    const stream = new PassThrough({ highWaterMark: STREAM_BUFFER_BYTES })
    stream.on('drain', () => {
      this.#releaseReserved()
      controller.resume()
    })
    stream.once('close', () => {
      this.#releaseReserved()
      answerBudget?.streams.release(1)
      if (!this.#hasEnded) this.#abort(ExchangeFailure.Cancelled)
    })
    stream.on('error', () => {})
    this.#stream = stream
    for (const chunk of this.#chunks) this.#writeChunk(controller, chunk)
    this.#chunks.length = 0
    this.#resolve(this.#createAnswer(stream))
  }

  #writeChunk (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#hasEnded) return
    const passed = this.#separator === undefined ? chunk : this.#separator.pass(chunk)
    if (passed === undefined) return this.#abort(ExchangeFailure.Broken, errorTexts.answerEndUnknown())
    if (!this.#stream!.write(passed)) controller.pause()
  }

  /** @returns the bytes that were not passed on yet, undefined when it is not known whether the answer ended before them */
  #takeLastBytes (): Buffer | undefined {
    if (this.#stream !== undefined) return this.#separator === undefined ? Buffer.alloc(0) : this.#separator.finish()
    const body = Buffer.concat(this.#chunks, this.#bufferedBytes)
    return this.#separator === undefined ? body : this.#separator.separate(body)
  }

  #tryReserve (bytes: number): boolean {
    const { answerBudget } = this.#request
    if (answerBudget === undefined) return true
    if (!answerBudget.bytes.tryTake(bytes)) return false
    this.#reservedBytes += bytes
    return true
  }

  #releaseReserved (): void {
    this.#request.answerBudget?.bytes.release(this.#reservedBytes)
    this.#reservedBytes = 0
  }

  #createAnswer (body: Buffer | PassThrough): ExchangeAnswer {
    return { status: this.#status, headers: this.#headers, body, finished: this.finished }
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

  #markEnded (failure: ExchangeFailure | undefined): void {
    this.#hasEnded = true
    if (this.#stream === undefined) this.#releaseReserved()
    clearTimeout(this.#timer)
    this.#request.cancelled.removeEventListener('abort', this.#onCancelled)
    this.#resolveFinished(failure)
  }
}

function classifyError ({ code = '' }: NodeJS.ErrnoException, isWritten: boolean): ExchangeFailure {
  if (code === UNSENT_ERROR_CODE) return ExchangeFailure.Stale
  if (isWritten) return ExchangeFailure.Broken
  // The host itself closed the connections, as the upstream is not in use any more.
  return CLOSED_ERROR_CODES.has(code) ? ExchangeFailure.Forbidden : ExchangeFailure.Unreachable
}

function listHeaders (headers: IncomingHttpHeaders): HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (Array.isArray(value)) return value.map((each) => ({ name, value: each }))
    return value === undefined ? [] : [{ name, value }]
  })
}
