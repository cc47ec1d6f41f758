import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request as sendRequest, type Dispatcher } from 'undici'
import { Outcome } from '../../types/Outcome.js'
import { RequestClass } from '../../types/RequestClass.js'
import type { GuestAnswer } from './GuestAnswer.js'
import type { GuestRequest } from './GuestRequest.js'
import type { LookupAnswer, LookupHost } from './LookupAnswer.js'
import { LookupCache } from './LookupCache.js'
import { pickByWeight } from './pickByWeight.js'

const MAXIMUM_CONNECTIONS_PER_HOST = 512
const RETRY_DELAY_MILLISECONDS = 50
/** A host whose connection failed is avoided for this long while others are available. */
const AVOIDANCE_MILLISECONDS = 3000
const MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS = 2000
/** The deadline that is sent ends this long before the client's own timeout, to leave time for the answer. */
const ANSWER_MARGIN_MILLISECONDS = 100
const ATTEMPTS_WITHOUT_DELAY = 3
const EMPTY_BODY = Buffer.alloc(0)
const TICKET_REFUSAL_REASONS = ['ticket-missing', 'ticket-invalid', 'ticket-expired', 'ticket-sealed']
/** Error codes of connections that were never opened: nothing was sent. */
const CONNECTION_ERROR_CODES = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']

/**
 * Sends requests as a guest does: it uses the hosts of a lookup, picks among them by weight, and moves to another host when a
 * connection fails, with the same key for one-time actions.
 */
export class GuestClient {
  readonly #dispatcher: Dispatcher = new Agent({ connections: MAXIMUM_CONNECTIONS_PER_HOST, pipelining: 1 })
  readonly #lookupCache: LookupCache
  readonly #random: () => number
  readonly #avoidedUntilByAddress = new Map<string, number>()

  /**
   * @param entryAddresses - guest addresses that answer lookups, `ip:port`
   * @param place - place to name in lookups; undefined to let the address decide
   * @param random - returns numbers from 0 to below 1, for the choice among hosts
   */
  constructor (entryAddresses: string[], place: string | undefined, random: () => number) {
    this.#lookupCache = new LookupCache(entryAddresses, place, this.#dispatcher)
    this.#random = random
  }

  /** Closes all connections and aborts requests in flight. */
  async close (): Promise<void> {
    await this.#dispatcher.destroy()
  }

  /**
   * Waits for a ticket, the prefix of the keys of one-time actions.
   *
   * @param service - name of the service to look up
   * @param deadline - end of the wait by the monotonic clock, in milliseconds
   * @returns the ticket, undefined when no lookup returned one before the deadline
   */
  async waitForTicket (service: string, deadline: number): Promise<string | undefined> {
    while (performance.now() < deadline) {
      const lookup = await this.#lookupCache.find(service)
      if (lookup?.ticket !== undefined) return lookup.ticket
      this.#lookupCache.evict(service)
      await sleep(RETRY_DELAY_MILLISECONDS)
    }
    return undefined
  }

  /**
   * Sends a request, and retries at other hosts while connections fail and the deadline allows.
   *
   * @param request - what to send, with its deadline
   * @returns the first complete answer, or the last failure
   */
  async send (request: GuestRequest): Promise<GuestAnswer> {
    let lastAnswer: GuestAnswer = { status: 0, outcome: undefined, reason: 'no-lookup', body: EMPTY_BODY, hostAddress: '', attempts: 0, lostAttempts: 0, lostHostAddresses: [], lostReasons: [] }
    let ticket = request.ticket
    while (performance.now() < request.deadline) {
      ticket ??= await this.#waitForTicketIfNeeded(request)
      const host = await this.#pickHost(request.service)
      if (host === undefined || !hasRequiredTicket(request, ticket)) {
        await sleep(RETRY_DELAY_MILLISECONDS)
        continue
      }
      lastAnswer = addAttempt(lastAnswer, await this.#sendAttempt(host.address, request, ticket))
      if (this.#needsNewTicket(request, lastAnswer)) {
        this.#lookupCache.evict(request.service)
        ticket = undefined
        continue
      }
      if (lastAnswer.status !== 0) return lastAnswer
      this.#avoidHost(host.address, request.service)
      if (lastAnswer.attempts >= ATTEMPTS_WITHOUT_DELAY) await sleep(RETRY_DELAY_MILLISECONDS)
    }
    return lastAnswer
  }

  async #waitForTicketIfNeeded (request: GuestRequest): Promise<string | undefined> {
    if (request.requestClass !== RequestClass.OneTime) return undefined
    return await this.waitForTicket(request.service, request.deadline)
  }

  #needsNewTicket (request: GuestRequest, answer: GuestAnswer): boolean {
    if (request.ticket !== undefined || answer.lostAttempts > 0) return false
    return answer.outcome === Outcome.NotRun && TICKET_REFUSAL_REASONS.includes(answer.reason)
  }

  async #pickHost (service: string): Promise<LookupHost | undefined> {
    const lookup: LookupAnswer | undefined = await this.#lookupCache.find(service)
    if (lookup === undefined) return undefined
    const now = performance.now()
    const openHosts = lookup.hosts.filter((host) => !host.draining)
    const preferredHosts = openHosts.filter((host) => (this.#avoidedUntilByAddress.get(host.address) ?? 0) <= now)
    return pickByWeight(preferredHosts.length > 0 ? preferredHosts : openHosts, this.#random())
  }

  #avoidHost (address: string, service: string): void {
    this.#avoidedUntilByAddress.set(address, performance.now() + AVOIDANCE_MILLISECONDS)
    this.#lookupCache.refresh(service)
  }

  async #sendAttempt (address: string, request: GuestRequest, ticket: string | undefined): Promise<GuestAnswer> {
    const remainingMilliseconds = request.deadline - performance.now()
    const timeoutMilliseconds = Math.ceil(Math.max(Math.min(MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS, remainingMilliseconds), remainingMilliseconds / 2, 1))
    const deadlineMilliseconds = Math.max(1, timeoutMilliseconds - ANSWER_MARGIN_MILLISECONDS)
    try {
      const { statusCode, headers, body } = await sendRequest(`http://${address}/v1/services/${request.service}/${request.path}`, {
        method: request.requestClass === RequestClass.OneTime ? 'POST' : 'GET',
        dispatcher: this.#dispatcher,
        headers: composeHeaders(request, ticket, deadlineMilliseconds),
        body: request.requestClass === RequestClass.OneTime ? request.body : null,
        signal: AbortSignal.timeout(timeoutMilliseconds)
      })
      const fullBody = Buffer.from(await body.arrayBuffer())
      return {
        status: statusCode,
        outcome: readOutcome(headers['hibiscusrelay-outcome']),
        reason: String(headers['hibiscusrelay-reason'] ?? ''),
        body: fullBody,
        hostAddress: address,
        attempts: 1,
        lostAttempts: 0,
        lostHostAddresses: [],
        lostReasons: []
      }
    } catch (error) {
      return createFailureAnswer(error, address)
    }
  }
}

function hasRequiredTicket (request: GuestRequest, ticket: string | undefined): boolean {
  return request.requestClass !== RequestClass.OneTime || ticket !== undefined
}

function addAttempt (previous: GuestAnswer, answer: GuestAnswer): GuestAnswer {
  return { ...answer, attempts: previous.attempts + 1, lostAttempts: previous.lostAttempts + answer.lostAttempts, lostHostAddresses: [...previous.lostHostAddresses, ...answer.lostHostAddresses], lostReasons: [...previous.lostReasons, ...answer.lostReasons] }
}

function composeHeaders (request: GuestRequest, ticket: string | undefined, deadlineMilliseconds: number): Record<string, string> {
  const headers = {
    'Hibiscusrelay-Deadline': String(deadlineMilliseconds),
    ...request.sending === undefined ? {} : { 'Guest-Sending': request.sending }
  }
  if (request.guestKey === undefined || ticket === undefined) return headers
  return { ...headers, 'Idempotency-Key': `${ticket}.${request.guestKey}` }
}

function readOutcome (value: string | string[] | undefined): Outcome | undefined {
  return Object.values(Outcome).find((outcome) => outcome === value)
}

function createFailureAnswer (error: unknown, address: string): GuestAnswer {
  const code = (error as { code?: unknown }).code
  const name = error instanceof Error ? error.name : 'error'
  const reason = typeof code === 'string' ? code : name
  const lostAttempts = CONNECTION_ERROR_CODES.includes(reason) ? 0 : 1
  return { status: 0, outcome: undefined, reason, body: EMPTY_BODY, hostAddress: address, attempts: 1, lostAttempts, lostHostAddresses: lostAttempts === 0 ? [] : [address], lostReasons: lostAttempts === 0 ? [] : [reason] }
}
