import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { MessageMemory, type MessagePools } from '../limits/MessageMemory.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { getRefusalStatus } from '../relay/getRefusalStatus.js'
import { createRelease } from '../transport/createRelease.js'
import { readBody } from '../transport/readBody.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { Step } from '../types/Step.js'

/** A request of an operator whose token was accepted. */
export interface OperatorRequest {
  /** Name of the operator. */
  operator: string
  query: URLSearchParams
  body: Buffer
}

/** Answer to an operator; the body is sent as JSON. */
export interface OperatorAnswer {
  status: number
  body: object
}

/** Handles the requests for one method and path. */
export type OperatorRoute = (request: OperatorRequest) => Promise<OperatorAnswer> | OperatorAnswer

/** Dependencies of an {@link OperatorInterface}. */
export interface OperatorInterfaceOptions {
  /** Tokens of the operators, by operator name. */
  tokens: Map<string, string>
  /** Handlers, by method and path such as `GET /v1/status`. */
  routes: Map<string, OperatorRoute>
  /** Maximum size of a request body. */
  maximumBodyBytes: number
  /** Memory of the bodies of all requests; unbounded by default. */
  memory?: MessagePools
  counters: Counters
  log: Log
}

/** HTTP interface for operators, who authenticate with bearer tokens. */
export class OperatorInterface {
  readonly #options: OperatorInterfaceOptions

  /** @param options - tokens, routes, body limit, counters and log */
  constructor (options: OperatorInterfaceOptions) {
    this.#options = options
  }

  /** Authenticates and answers one HTTP request. */
  async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const operator = this.#findOperator(message.headers.authorization)
    if (operator === undefined) return this.#refuse(response, RefusalReason.Unauthorized)
    const url = new URL(message.url ?? '', 'http://host')
    const route = this.#options.routes.get(`${message.method} ${url.pathname}`)
    if (route === undefined) return this.#refuse(response, RefusalReason.UnknownPath)
    const body = await this.#readBody(message, response)
    if (body === undefined) return this.#refuse(response, RefusalReason.BodyTooLarge)
    try {
      const answer = await route({ operator, query: url.searchParams, body })
      this.#options.log.info('operator-request', { step: Step.Ingress, peer: message.socket.remoteAddress, operator, path: url.pathname, status: answer.status })
      this.#send(response, answer)
    } catch (error) {
      this.#options.log.error('operator-request-failed', { step: Step.Ingress, operator, path: url.pathname, cause: String(error) })
      this.#send(response, { status: 500, body: { reason: RefusalReason.InternalError, message: String(error) } })
    }
  }

  async #readBody (message: IncomingMessage, response: ServerResponse): Promise<Buffer | undefined> {
    const memory = this.#options.memory === undefined ? undefined : new MessageMemory(this.#options.memory)
    createRelease(response)(() => { memory?.release() })
    return await readBody(message, this.#options.maximumBodyBytes, memory)
  }

  #findOperator (authorization: string | undefined): string | undefined {
    const givenDigest = computeDigest(/^Bearer (\S+)$/.exec(authorization ?? '')?.[1] ?? '')
    let foundOperator: string | undefined
    for (const [name, token] of this.#options.tokens) {
      if (timingSafeEqual(givenDigest, computeDigest(token))) foundOperator = name
    }
    return foundOperator
  }

  #refuse (response: ServerResponse, reason: RefusalReason): void {
    this.#options.counters.increment(refusalCounter(reason))
    this.#send(response, { status: getRefusalStatus(reason), body: { reason } })
  }

  #send (response: ServerResponse, answer: OperatorAnswer): void {
    response.writeHead(answer.status, { 'content-type': 'application/json' }).end(JSON.stringify(answer.body) + '\n')
  }
}

function computeDigest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
