import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { UpstreamRecord } from '../../src/registry/UpstreamRecord.js'

/** One exchange with an upstream whose answer the test determines. */
export class ScriptedExchange {
  readonly record: UpstreamRecord
  readonly path: string
  readonly startedAt = performance.now()
  /** Identifier that the request was sent with. */
  readonly attemptId: string
  /** When the host closed the connection, undefined while it has not. */
  abortedAt: number | undefined
  /** Called when the host closes the connection. */
  onAbort = (): void => {}
  readonly #handler: Dispatcher.DispatchHandler
  readonly #controller: Dispatcher.DispatchController

  constructor (record: UpstreamRecord, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
    const headers = options.headers as string[]
    this.record = record
    this.path = options.path
    this.attemptId = headers[headers.indexOf('attempt-id') + 1]!
    this.#handler = handler
    this.#controller = { abort: (cause: Error) => { this.#abort(cause) }, pause: () => {}, resume: () => {} } as unknown as Dispatcher.DispatchController
    handler.onRequestStart?.(this.#controller, {})
  }

  /** Answers the request as its upstream. */
  respond (body = 'whole', headers: IncomingHttpHeaders = {}): void {
    this.begin(body, headers, body.length)
    this.end()
  }

  /** Sends the head and a part of the answer. */
  begin (part: string, headers: IncomingHttpHeaders = {}, length = 1_000_000): void {
    if (this.abortedAt !== undefined) return
    this.#handler.onResponseStart?.(this.#controller, 200, { 'attempt-id': this.attemptId, 'response-signature': 's', 'content-length': String(length), ...headers }, '')
    if (part !== '') this.#handler.onResponseData?.(this.#controller, Buffer.from(part))
  }

  /** Ends an answer in order. */
  end (): void {
    if (this.abortedAt === undefined) this.#handler.onResponseEnd?.(this.#controller, {})
  }

  /** Refuses the request without running it. */
  refuse (): void {
    if (this.abortedAt !== undefined) return
    this.#handler.onResponseStart?.(this.#controller, 503, { 'attempt-id': this.attemptId, 'not-executed': '1', 'content-length': '0' }, '')
    if (this.abortedAt === undefined) this.#handler.onResponseEnd?.(this.#controller, {})
  }

  /** Breaks the connection as an upstream that resets it. */
  reset (): void {
    if (this.abortedAt === undefined) this.#handler.onResponseError?.(this.#controller, Object.assign(new Error('reset'), { code: 'ECONNRESET' }))
  }

  #abort (cause: Error): void {
    if (this.abortedAt !== undefined) return
    this.abortedAt = performance.now()
    this.onAbort()
    this.#handler.onResponseError?.(this.#controller, cause)
  }
}

/** Connections to upstreams without a network: the test sees each request that is written and decides what comes back. */
export class ScriptedConnections {
  /** All exchanges so far, in order. */
  readonly exchanges: ScriptedExchange[] = []
  readonly #onRequest: (exchange: ScriptedExchange) => void

  /** @param onRequest - called with each request */
  constructor (onRequest: (exchange: ScriptedExchange) => void) {
    this.#onRequest = onRequest
  }

  /** @returns a dispatcher that sends to an upstream */
  to (record: UpstreamRecord): Dispatcher {
    const dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean => {
      let exchange: ScriptedExchange
      try {
        exchange = new ScriptedExchange(record, options, handler)
      } catch (error) {
        // The host gave the request up before its first byte, as the HTTP library tells it.
        handler.onResponseError?.(null as unknown as Dispatcher.DispatchController, error as Error)
        return true
      }
      if (exchange.abortedAt !== undefined) return true
      this.exchanges.push(exchange)
      this.#onRequest(exchange)
      return true
    }
    return { dispatch } as unknown as Dispatcher
  }

  async destroy (): Promise<void> {}
}
