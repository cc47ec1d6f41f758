import type { IncomingMessage, ServerResponse } from 'node:http'
import type { KnownState } from '../follow/KnownState.js'
import { MessageMemory, type MessagePools } from '../limits/MessageMemory.js'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { chooseRetryAfter } from '../placement/chooseRetryAfter.js'
import { deliverAnswer } from '../relay/deliverAnswer.js'
import { isHopByHopHeader } from '../relay/isHopByHopHeader.js'
import { answerUnknown, refuse } from '../relay/refuse.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { replaceUnframableAnswer } from '../relay/replaceUnframableAnswer.js'
import { countHeadBytes } from '../guest/countHeadBytes.js'
import { listEndToEndHeaders } from '../guest/listEndToEndHeaders.js'
import { readBodyUntil } from '../transport/readBodyUntil.js'
import { createRelease } from '../transport/createRelease.js'
import { hasCallerDisconnected } from '../transport/hasCallerDisconnected.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { Step } from '../types/Step.js'
import { authorizeRequest } from './authorizeRequest.js'
import type { EntryRelay } from './EntryRelay.js'
import type { EntryRequest } from './EntryRequest.js'

const STATUS_UNAVAILABLE = 503
const STATUS_TOO_MANY = 429
const STATUS_UNKNOWN = 502
/** Deadline of a request whose guest sets none. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000

/** Fields of a guest's request that are not part of HTTP itself. */
export interface GuestFields {
  id: string
  deadlineMilliseconds: number | undefined
  objectKey: string | undefined
  /** Key of the guest's client account. */
  key?: string
}

/** Dependencies of a guest listener. */
export interface GuestListenerOptions {
  known: KnownState
  relay: EntryRelay
  stopWindow: StopWindow
  /** Memory of the bodies of all requests. */
  bodies: MessagePools
  /** @returns time within which each host stops to serve withdrawn keys, in milliseconds; undefined, as by default, without that guarantee */
  revocationMilliseconds?: () => number | undefined
  /** Reads the fields of a request; returns undefined when they are malformed. */
  readFields: (message: IncomingMessage) => GuestFields | undefined
  random: () => number
  counters: Counters
  log: Log
}

/** Answers guests of an entry host that follows a routing plan. */
export class GuestListener {
  readonly #options: GuestListenerOptions

  /** @param options - relay, known state, metrics and log */
  constructor (options: GuestListenerOptions) {
    this.#options = options
  }

  /**
   * Handles one HTTP request.
   *
   * @param message - the request
   * @param response - its response
   * @param arrivedAt - when its head was read, in milliseconds on the clock of `performance.now()`; its deadline counts from then
   */
  async handle (message: IncomingMessage, response: ServerResponse, arrivedAt = performance.now()): Promise<void> {
    const progress = { arrivedAt, isPassedOn: false }
    try {
      await this.#serve(message, response, progress)
    } catch (error) {
      this.#options.log.error('guest-request-failed', { step: Step.Ingress, peer: message.socket.remoteAddress, path: message.url, passedOn: progress.isPassedOn, begun: response.headersSent, cause: String(error) })
      this.#answerDefect(response, progress.isPassedOn)
    }
  }

  async #serve (message: IncomingMessage, response: ServerResponse, progress: { arrivedAt: number, isPassedOn: boolean }): Promise<void> {
    const cancellation = new AbortController()
    response.once('close', () => { if (!response.writableFinished) cancellation.abort() })
    const releaseAfter = createRelease(response)
    const memory = new MessageMemory(this.#options.bodies)
    releaseAfter(() => { memory.release() })
    const request = await this.#readRequest(message, progress.arrivedAt, cancellation.signal, memory)
    if (typeof request === 'string') return this.#refuse(message, response, request)
    if (await hasCallerDisconnected(message)) return this.#discardRequest(response, request)
    progress.isPassedOn = true
    const relayedAnswer = await this.#options.relay.serve({ ...request, releaseAfter })
    if (response.destroyed) return
    await this.#deliver(response, replaceUnframableAnswer(relayedAnswer, message, request.id, this.#options), request)
  }

  /** A guest must learn from a host with a defect, too, whether its request may have run. An answer that has begun is broken off. */
  #answerDefect (response: ServerResponse, isPassedOn: boolean): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    this.#options.counters.increment(refusalCounter(RefusalReason.InternalError))
    const { body } = isPassedOn ? answerUnknown(RefusalReason.InternalError) : refuse(RefusalReason.InternalError)
    for (const name of response.getHeaderNames()) response.removeHeader(name)
    const status = isPassedOn ? STATUS_UNKNOWN : STATUS_UNAVAILABLE
    this.#setRefusalHeaders(response, { status }, RefusalReason.InternalError, DEFAULT_DEADLINE_MILLISECONDS)
    response.writeHead(status, { connection: 'close', 'content-type': 'application/json', 'content-length': (body as Buffer).length })
    response.end(body)
  }

  /** Discards a request whose guest disconnected before it was sent to an upstream. */
  #discardRequest (response: ServerResponse, { id, route, readMilliseconds }: EntryRequest): void {
    const { counters, log, known } = this.#options
    counters.increment(refusalCounter(RefusalReason.Cancelled))
    log.warn('request-dropped', { step: Step.Ingress, request: id, reason: RefusalReason.Cancelled, route: route.name, plan: known.plan?.version, read: Math.round(readMilliseconds) })
    response.destroy()
  }

  async #readRequest (message: IncomingMessage, arrivedAt: number, cancelled: AbortSignal, memory: MessageMemory): Promise<EntryRequest | RefusalReason> {
    const { known, readFields, stopWindow } = this.#options
    const { plan, routes } = known
    if (plan === undefined || routes === undefined) return RefusalReason.NoPlan
    if (countHeadBytes(message) > plan.limits.headerBytes) return RefusalReason.HeadersTooLarge
    const path = message.url ?? ''
    const route = routes.find((message.headers.host ?? '').replace(/:\d+$/, '').toLowerCase(), path)
    if (route === undefined) return RefusalReason.UnknownPath
    const fields = readFields(message)
    if (fields === undefined) return RefusalReason.BadRequest
    const areKeysConfirmed = known.planLease.isValid(this.#options.revocationMilliseconds?.())
    const access = authorizeRequest({ accounts: known.accounts, route, key: fields.key, areKeysConfirmed })
    if (typeof access === 'string') return access
    const guestDeadline = arrivedAt + (fields.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS)
    const deadline = Math.min(guestDeadline, arrivedAt + route.timeoutMilliseconds)
    const body = await readBodyUntil(message, plan.limits.bodyBytes, deadline, stopWindow, memory)
    if (!Buffer.isBuffer(body)) return body
    return {
      id: fields.id,
      method: message.method ?? '',
      path,
      headers: [{ name: 'host', value: message.headers.host ?? '' }, ...listEndToEndHeaders(message)],
      body,
      route,
      access,
      objectKey: fields.objectKey,
      guestDeadline,
      deadline,
      arrivedAt,
      readMilliseconds: performance.now() - arrivedAt,
      cancelled
    }
  }

  async #deliver (response: ServerResponse, answer: RelayAnswer, request: EntryRequest): Promise<void> {
    for (const { name, value } of answer.headers) {
      if (!isHopByHopHeader(name)) response.appendHeader(name, value)
    }
    if (answer.reason !== undefined) this.#setRefusalHeaders(response, answer, answer.reason, request.guestDeadline - performance.now())
    await deliverAnswer(answer, response)
  }

  #setRefusalHeaders (response: ServerResponse, { status, retryAfterMilliseconds }: Pick<RelayAnswer, 'status' | 'retryAfterMilliseconds'>, reason: RefusalReason, remainingMilliseconds: number): void {
    response.setHeader('hibiscusrelay-reason', reason)
    if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY) response.setHeader('retry-after', String(chooseRetryAfter(reason, Math.max(0, remainingMilliseconds), this.#options.random(), retryAfterMilliseconds)))
  }

  #refuse (message: IncomingMessage, response: ServerResponse, reason: RefusalReason): void {
    const { counters, log, known, readFields } = this.#options
    counters.increment(refusalCounter(reason))
    const fields = readFields(message)
    log.warn('request-refused', { step: Step.Ingress, request: fields?.id, reason, host: message.headers.host, path: message.url, plan: known.plan?.version })
    const answer = refuse(reason)
    if (!message.complete) response.setHeader('connection', 'close')
    this.#setRefusalHeaders(response, answer, reason, fields?.deadlineMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS)
    const body = answer.body as Buffer
    response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': body.length })
    response.end(body)
  }
}
