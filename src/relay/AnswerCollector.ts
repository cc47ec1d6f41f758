import type { IncomingHttpHeaders } from 'node:http'
import { PassThrough } from 'node:stream'
import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../errors/ExchangeError.js'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.js'
import type { HeaderField } from './RelayedRequest.js'

const UNREACHABLE_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

const BODILESS_STATUSES = new Set([204, 304])

/** Follows one exchange: notes whether bytes were written, collects the answer, and enforces the deadline. */
export class AnswerCollector implements Dispatcher.DispatchHandler {
  readonly answer: Promise<ExchangeAnswer>
  readonly #request: ExchangeRequest
  readonly #finished: Promise<void>
  readonly #timer: NodeJS.Timeout
  readonly #onCancelled = () => { this.#stop(ExchangeFailure.Cancelled) }
  readonly #chunks: Buffer[] = []
  #resolve!: (answer: ExchangeAnswer) => void
  #reject!: (error: ExchangeError) => void
  #finish!: () => void
  #controller: Dispatcher.DispatchController | undefined
  #failure: ExchangeFailure | undefined
  #written = false
  #ended = false
  #status = 0
  #headers: HeaderField[] = []
  #bytes = 0
  #endsWithConnection = false
  #stream: PassThrough | undefined

  /** @param request - the exchange to follow */
  constructor (request: ExchangeRequest) {
    this.#request = request
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    this.#finished = new Promise((resolve) => { this.#finish = resolve })
    this.#timer = setTimeout(() => { this.#stop(ExchangeFailure.TimedOut) }, Math.max(0, request.deadline - performance.now()))
    request.cancelled.addEventListener('abort', this.#onCancelled, { once: true })
    if (request.cancelled.aborted) this.#stop(ExchangeFailure.Cancelled)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    // Nothing was written yet: an error thrown here drops the request, while abort would also close the connection.
    if (this.#failure !== undefined || this.#ended) throw new Error(this.#failure)
    if (!this.#request.mayWrite()) {
      this.#stop(ExchangeFailure.Forbidden)
      return
    }
    this.#written = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#status = status
    this.#headers = listHeaders(headers)
    this.#endsWithConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && !hasNoBody(this.#request.method, status)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#stream !== undefined) {
      this.#write(controller, chunk)
      return
    }
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    if (this.#bytes > this.#request.answerBufferBytes) this.#beginStream(controller)
  }

  onResponseEnd (): void {
    this.#end()
    if (this.#stream !== undefined) {
      this.#stream.end()
      return
    }
    this.#resolve(this.#describe(Buffer.concat(this.#chunks, this.#bytes)))
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, cause: Error): void {
    if (this.#ended) return
    this.#end()
    const error = new ExchangeError(this.#failure ?? classify(cause, this.#written), this.#request.peer, this.#written, cause)
    this.#stream?.destroy(error)
    this.#reject(error)
  }

  #beginStream (controller: Dispatcher.DispatchController): void {
    const stream = new PassThrough({ highWaterMark: this.#request.answerBufferBytes })
    stream.on('drain', () => { controller.resume() })
    stream.once('close', () => { if (!this.#ended) this.#stop(ExchangeFailure.Cancelled) })
    stream.on('error', () => {})
    this.#stream = stream
    for (const chunk of this.#chunks) this.#write(controller, chunk)
    this.#resolve(this.#describe(stream))
  }

  #write (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#stream!.write(chunk)) controller.pause()
  }

  #describe (body: Buffer | PassThrough): ExchangeAnswer {
    return { status: this.#status, headers: this.#headers, body, endsWithConnection: this.#endsWithConnection, finished: this.#finished }
  }

  #stop (failure: ExchangeFailure): void {
    if (this.#ended || this.#failure !== undefined) return
    this.#failure = failure
    const cause = new Error(failure)
    if (this.#controller !== undefined) this.#controller.abort(cause)
    else this.onResponseError(null, cause)
  }

  #end (): void {
    this.#ended = true
    clearTimeout(this.#timer)
    this.#request.cancelled.removeEventListener('abort', this.#onCancelled)
    this.#finish()
  }
}

function classify (cause: NodeJS.ErrnoException, written: boolean): ExchangeFailure {
  if (!written || UNREACHABLE_CODES.has(cause.code ?? '')) return ExchangeFailure.Unreachable
  return ExchangeFailure.Broken
}

function hasNoBody (method: string, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status)
}

function listHeaders (headers: IncomingHttpHeaders): HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (Array.isArray(value)) return value.map((each) => ({ name, value: each }))
    return value === undefined ? [] : [{ name, value }]
  })
}
