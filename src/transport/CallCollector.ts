import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import { errorTexts } from '../errors/errorTexts.js'
import type { MessageMemory } from '../limits/MessageMemory.js'
import { passPollPhase } from '../utils/passPollPhase.js'
import { PieceBuffer } from '../utils/PieceBuffer.js'
import { decodeBody, BODY_ENCODING, type EncodedBody } from './encodeBody.js'

/**
 * Maximum total duration of a call, in multiples of its timeout. Each part of the answer restarts the timeout, because a slow
 * link does not mean a dead peer; this bounds the sum of these waits.
 */
const MAXIMUM_TIMEOUTS_PER_CALL = 3

/** Maximum size of an answer as received; the largest ones hold a plan of some thousand routes, or a part of a snapshot. */
const MAXIMUM_ANSWER_BYTES = 16_777_216

/** The complete answer to a call. */
export interface CallAnswer {
  status: number
  text: string
  /** Content encoding that the peer accepts for calls (RFC 7694), empty if it does not say so. */
  acceptedEncoding: string
}

/** Collects the answer to one call of a peer, and aborts the call when no part of the answer arrives within the timeout. */
export class CallCollector implements Dispatcher.DispatchHandler {
  /** Resolves with the complete answer; rejects when the call fails or times out. */
  readonly answer: Promise<CallAnswer>
  readonly #timeoutMilliseconds: number
  #timer: NodeJS.Timeout
  readonly #pieces = new PieceBuffer()
  readonly #memory: MessageMemory | undefined
  #resolve!: (answer: CallAnswer) => void
  #reject!: (error: Error) => void
  #controller: Dispatcher.DispatchController | undefined
  #failure: Error | undefined
  #hasEnded = false
  #status = 0
  #encoding: EncodedBody['encoding']
  #acceptedEncoding = ''
  readonly #deadline: number
  #lastPartAt = performance.now()

  /**
   * @param timeoutMilliseconds - maximum wait for the start of the answer, and then for each further part of it
   * @param memory - memory of the answer; unbounded by default
   */
  constructor (timeoutMilliseconds: number, memory?: MessageMemory) {
    this.#memory = memory
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
    // Nothing has been written yet: an error thrown here discards the call only, while abort would also close the connection.
    if (this.#failure !== undefined) throw this.#failure
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this.#status = status
    if (headers['content-encoding'] === BODY_ENCODING) this.#encoding = BODY_ENCODING
    this.#acceptedEncoding = String(headers['accept-encoding'] ?? '')
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#pieces.length + chunk.length > MAXIMUM_ANSWER_BYTES) return this.#fail(new Error(errorTexts.peerAnswerTooLarge(MAXIMUM_ANSWER_BYTES)))
    if (this.#memory?.tryTake(this.#pieces.measureGrowth(chunk.length)) === false) return this.#fail(new Error(errorTexts.callMemoryUsedUp()))
    this.#pieces.append(chunk)
    this.#lastPartAt = performance.now()
  }

  onResponseEnd (): void {
    this.#endWait()
    try {
      this.#resolve({ status: this.#status, text: decodeBody({ body: this.#pieces.take(), encoding: this.#encoding }), acceptedEncoding: this.#acceptedEncoding })
    } catch (error) {
      this.#reject(error as Error)
    }
    this.#memory?.release()
  }

  onResponseError (_controller: Dispatcher.DispatchController | null, error: Error): void {
    this.#endWait()
    this.#memory?.release()
    this.#reject(error)
  }

  /** Parts are only noted when they arrive: a timer for each would cost more than a small part. */
  #startTimer (): NodeJS.Timeout {
    const dueAt = Math.min(this.#lastPartAt + this.#timeoutMilliseconds, this.#deadline)
    return setTimeout(() => { this.#failIfSilent(dueAt) }, Math.max(0, dueAt - performance.now()))
  }

  /** Fails the call, unless a part of the answer arrived in time, or while the process was late to read it. */
  async #failIfSilent (dueAt: number): Promise<void> {
    const hasBeenSent = this.#controller !== undefined
    if (hasBeenSent) await passPollPhase()
    if (this.#hasEnded) return
    const isAwaitingNextPart = this.#lastPartAt + this.#timeoutMilliseconds > dueAt && performance.now() < this.#deadline
    if (isAwaitingNextPart) this.#timer = this.#startTimer()
    else this.#fail(new Error(errorTexts.noAnswerInTime()))
  }

  #endWait (): void {
    clearTimeout(this.#timer)
    this.#hasEnded = true
  }

  /** Rejects the answer at once, even when the call is still waiting for a connection; such a call is discarded in {@link CallCollector.onRequestStart}. */
  #fail (error: Error): void {
    this.#endWait()
    this.#failure = error
    this.#pieces.clear()
    this.#memory?.release()
    this.#controller?.abort(error)
    this.#reject(error)
  }
}
