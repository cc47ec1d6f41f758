import type { IncomingMessage, ServerResponse } from 'node:http'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { AnnouncementHandler } from '../relay/AnnouncementHandler.js'
import { announcementSchema } from '../relay/Announcement.js'
import { createLengthHeader } from '../relay/deliverBody.js'
import { deliverAnswer } from '../relay/deliverAnswer.js'
import type { Ingress } from '../relay/Ingress.js'
import { isHopByHopHeader } from '../relay/isHopByHopHeader.js'
import { answerUnknown, refuse } from '../relay/refuse.js'
import { getRefusalStatus } from '../relay/getRefusalStatus.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { replaceUnframableAnswer } from '../relay/replaceUnframableAnswer.js'
import type { LimitSettings, TimingSettings } from '../settings/Settings.js'
import { readBody } from '../transport/readBody.js'
import { MessageMemory, type MessagePools } from '../limits/MessageMemory.js'
import { createRelease } from '../transport/createRelease.js'
import { hasCallerDisconnected } from '../transport/hasCallerDisconnected.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import type { Sheet } from '../types/Sheet.js'
import { Step } from '../types/Step.js'
import type { LookupAnswer, LookupQuestion } from './LookupAnswer.js'
import { readGuestRequest, SERVICES_PATH } from './readGuestRequest.js'

const LOOKUP_PATH = '/v1/lookup'
const ANNOUNCEMENTS_PATH = '/v1/announcements'
const MAXIMUM_ANNOUNCEMENT_BYTES = 16_384
const RETRY_AFTER_SECONDS = '1'

/** Dependencies of the guest interface. */
export interface GuestInterfaceOptions {
  ingress: Ingress
  stopWindow: StopWindow
  announcements: AnnouncementHandler
  /** Memory of the bodies of all requests. */
  bodies: MessagePools
  currentSheet: () => Sheet | undefined
  /** Answers a lookup of a known service. */
  lookup: (question: LookupQuestion) => LookupAnswer
  /** Returns a new ticket prefix for a refused one-time action, undefined while none can be issued. */
  ticketPrefix: () => string | undefined
  limits: LimitSettings
  timings: TimingSettings
  counters: Counters
  log: Log
}

/** Refusals of requests whose body has not been read completely; their connection is closed. */
const UNREAD_BODY_REASONS = new Set([RefusalReason.BodyTooLarge, RefusalReason.BodyTimedOut, RefusalReason.BodyMemory, RefusalReason.Stopping, RefusalReason.InternalError])

/** HTTP interface of an entry host for guests and upstreams. */
export class GuestInterface {
  readonly #options: GuestInterfaceOptions

  /** @param options - relay, announcements, lookup, limits, metrics and log */
  constructor (options: GuestInterfaceOptions) {
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
      const url = new URL(message.url ?? '', 'http://host')
      if (url.pathname === LOOKUP_PATH) await this.#answerLookup(message, url, response)
      else if (url.pathname === ANNOUNCEMENTS_PATH) await this.#handleAnnouncement(message, response)
      else if (message.url!.startsWith(SERVICES_PATH)) await this.#serve(message, response, progress)
      else this.#refuse(message, response, RefusalReason.UnknownPath)
    } catch (error) {
      this.#options.log.error('guest-request-failed', { step: Step.Ingress, peer: message.socket.remoteAddress, path: message.url, passedOn: progress.isPassedOn, begun: response.headersSent, cause: String(error) })
      this.#answerDefect(message, response, progress.isPassedOn)
    }
  }

  /**
   * Counts a refusal of bytes that are not valid HTTP.
   *
   * @returns the raw answer to them
   */
  refuseMalformed (status: number): string {
    const reason = status === 431 ? RefusalReason.HeadersTooLarge : RefusalReason.BadRequest
    this.#options.counters.increment(refusalCounter(reason))
    const body = JSON.stringify({ outcome: Outcome.NotRun, reason }) + '\n'
    return `HTTP/1.1 ${status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n` +
      `hibiscusrelay-outcome: ${Outcome.NotRun}\r\nhibiscusrelay-reason: ${reason}\r\n\r\n${body}`
  }

  async #answerLookup (message: IncomingMessage, url: URL, response: ServerResponse): Promise<void> {
    if (message.method !== 'GET') return this.#refuse(message, response, RefusalReason.BadMethod)
    const sheet = this.#options.currentSheet()
    if (sheet === undefined) return this.#refuse(message, response, RefusalReason.NoSheet)
    const service = url.searchParams.get('service') ?? ''
    if (!sheet.services.has(service)) return this.#refuse(message, response, RefusalReason.UnknownService)
    const requestedPlace = url.searchParams.get('place')
    if (requestedPlace !== null && !sheet.places.has(requestedPlace)) return this.#refuse(message, response, RefusalReason.UnknownPlace)
    const address = message.socket.remoteAddress ?? ''
    const place = requestedPlace ?? sheet.guestBlocks.findPlace(address)
    const answer = this.#options.lookup({ sheet, service, place, address })
    if (answer.hosts.length === 0) return this.#refuse(message, response, RefusalReason.NoHost)
    this.#options.counters.increment('lookup.answered')
    this.#sendJson(response, 200, answer, { 'cache-control': `private, max-age=${answer.lifetimeSeconds}` })
  }

  async #handleAnnouncement (message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (message.method !== 'POST') return this.#refuse(message, response, RefusalReason.BadMethod)
    const body = await readBody(message, MAXIMUM_ANNOUNCEMENT_BYTES)
    if (body === undefined) return this.#refuse(message, response, RefusalReason.BodyTooLarge)
    const announcement = announcementSchema.safeParse(parseJson(body))
    if (!announcement.success) return this.#refuse(message, response, RefusalReason.BadJson)
    const answer = this.#options.announcements.handle(announcement.data)
    if (answer === undefined) this.#sendJson(response, 409, { reason: RefusalReason.StaleAnnouncement })
    else this.#sendJson(response, 200, answer)
  }

  async #serve (message: IncomingMessage, response: ServerResponse, progress: { arrivedAt: number, isPassedOn: boolean }): Promise<void> {
    const cancellation = new AbortController()
    response.once('close', () => { if (!response.writableEnded) cancellation.abort() })
    const { limits, timings, stopWindow } = this.#options
    const sheet = this.#options.currentSheet()
    const releaseAfter = createRelease(response)
    const memory = new MessageMemory(this.#options.bodies)
    releaseAfter(() => { memory.release() })
    const request = await readGuestRequest(message, { arrivedAt: progress.arrivedAt, sheet, limits, timings, stopWindow, memory, cancelled: cancellation.signal })
    if (typeof request === 'string') return this.#refuse(message, response, request)
    if (await hasCallerDisconnected(message)) return this.#discardRequest(response, request.id)
    progress.isPassedOn = true
    const guestPlace = sheet?.guestBlocks.findPlace(message.socket.remoteAddress ?? '')
    const answer = await this.#options.ingress.serve({ ...request, releaseAfter }, guestPlace)
    await this.#deliver(response, replaceUnframableAnswer(answer, message, request.id, this.#options), request.id)
  }

  /** Discards a request whose guest disconnected before it was relayed. */
  #discardRequest (response: ServerResponse, id: string): void {
    const reason = RefusalReason.Cancelled
    this.#options.counters.increment(refusalCounter(reason))
    this.#options.log.warn('request-dropped', { step: Step.Ingress, request: id, reason })
    response.destroy()
  }

  async #deliver (response: ServerResponse, answer: RelayAnswer, id: string): Promise<void> {
    for (const { name, value } of answer.headers) {
      if (!isHopByHopHeader(name)) response.appendHeader(name, value)
    }
    response.setHeader('hibiscusrelay-request', id)
    response.setHeader('hibiscusrelay-outcome', answer.outcome)
    if (answer.reason !== undefined) this.#setRefusalHeaders(response, answer.reason)
    await deliverAnswer(answer, response)
  }

  #setRefusalHeaders (response: ServerResponse, reason: RefusalReason): void {
    response.setHeader('hibiscusrelay-reason', reason)
    if (getRefusalStatus(reason) === 503) response.setHeader('retry-after', RETRY_AFTER_SECONDS)
    const ticket = isTicketRefusal(reason) ? this.#options.ticketPrefix() : undefined
    if (ticket !== undefined) response.setHeader('hibiscusrelay-ticket', ticket)
  }

  /** Answers a request at which this host showed a defect. An answer that has begun is broken off. */
  #answerDefect (message: IncomingMessage, response: ServerResponse, isPassedOn: boolean): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    for (const name of response.getHeaderNames()) response.removeHeader(name)
    this.#refuse(message, response, RefusalReason.InternalError, isPassedOn)
  }

  /** A request that was passed on may have run; so may one with an idempotency key, in an earlier attempt. */
  #refuse (message: IncomingMessage, response: ServerResponse, reason: RefusalReason, isPassedOn = false): void {
    this.#options.counters.increment(refusalCounter(reason))
    const mayHaveRun = isPassedOn || message.headers['idempotency-key'] !== undefined
    const answer = mayHaveRun ? answerUnknown(reason) : refuse(reason)
    if (UNREAD_BODY_REASONS.has(reason)) response.setHeader('connection', 'close')
    this.#setRefusalHeaders(response, reason)
    const body = answer.body as Buffer
    response.writeHead(answer.status, { 'content-type': 'application/json', 'hibiscusrelay-outcome': answer.outcome, ...createLengthHeader(body) })
    response.end(body)
  }

  #sendJson (response: ServerResponse, status: number, body: object, headers: Record<string, string> = {}): void {
    response.writeHead(status, { 'content-type': 'application/json', ...headers }).end(JSON.stringify(body) + '\n')
  }
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString())
  } catch {
    return undefined
  }
}

function isTicketRefusal (reason: RefusalReason): boolean {
  return [RefusalReason.TicketMissing, RefusalReason.TicketExpired, RefusalReason.TicketSealed, RefusalReason.TicketInvalid].includes(reason)
}
