import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { decodeAnswer, ANSWER_ENCODING, type EncodedAnswer } from './encodeAnswer.js'

/** How many times its timeout a call may take in all, while its answer is arriving: a slow link is no dead peer. */
const MAXIMUM_TIMEOUTS_PER_CALL = 3

/** The whole answer to a call. */
export interface CallAnswer {
  status: number
  text: string
}

/** Follows one call of a peer: collects its answer, and breaks it off when nothing of it comes for the timeout. */
export class CallCollector implements Dispatcher.DispatchHandler {
  readonly answer: Promise<CallAnswer>
  readonly #timeoutMilliseconds: number
  #timer: NodeJS.Timeout
  readonly #chunks: Buffer[] = []
  #resolve!: (answer: CallAnswer) => void
  #reject!: (error: Error) => void
  #controller: Dispatcher.DispatchController | undefined
  #timeoutError: Error | undefined
  #status = 0
  #encoding: EncodedAnswer['encoding']
  readonly #deadline: number

  /** @param timeoutMilliseconds - how long the call may take until its answer begins, and each further part of it */
  constructor (timeoutMilliseconds: number) {
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    this.#deadline = performance.now() + MAXIMUM_TIMEOUTS_PER_CALL * timeoutMilliseconds
    this.#timeoutMilliseconds = timeoutMilliseconds
    this.#timer = this.#startTimer()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    // Nothing was written yet: an error thrown here drops the call, while abort would also close the connection.
    if (this.#timeoutError !== undefined) throw this.#timeoutError
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#status = status
    if (headers['content-encoding'] === ANSWER_ENCODING) this.#encoding = ANSWER_ENCODING
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
    clearTimeout(this.#timer)
    this.#timer = this.#startTimer()
  }

  onResponseEnd (): void {
    clearTimeout(this.#timer)
    try {
      this.#resolve({ status: this.#status, text: decodeAnswer({ body: Buffer.concat(this.#chunks), encoding: this.#encoding }) })
    } catch (error) {
      this.#reject(error as Error)
    }
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, error: Error): void {
    clearTimeout(this.#timer)
    this.#reject(error)
  }

  #startTimer (): NodeJS.Timeout {
    const waitMilliseconds = Math.min(this.#timeoutMilliseconds, this.#deadline - performance.now())
    return setTimeout(() => { this.#failWithTimeout() }, Math.max(0, waitMilliseconds))
  }

  /** A call that still waits for a connection ends at once, and is dropped when its turn comes. */
  #failWithTimeout (): void {
    this.#timeoutError = new Error('no answer in time')
    this.#controller?.abort(this.#timeoutError)
    this.#reject(this.#timeoutError)
  }
}
