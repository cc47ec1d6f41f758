import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { StopWindow } from '../limits/StopWindow.js'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import type { RelayedRequest } from '../relay/RelayedRequest.js'
import type { LimitSettings, TimingSettings } from '../settings/Settings.js'
import type { MessageMemory } from '../limits/MessageMemory.js'
import { readBodyUntil } from '../transport/readBodyUntil.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import type { Sheet } from '../types/Sheet.js'
import { listEndToEndHeaders } from './listEndToEndHeaders.js'

/** Path prefix of requests to services. */
export const SERVICES_PATH = '/v1/services/'

const MAXIMUM_KEY_CHARACTERS = 512
/** Fraction of the guest's time reserved for the transit of the answer, so that even a late outcome arrives in time. */
const ANSWER_TRANSIT_FRACTION = 0.05
const MAXIMUM_ANSWER_TRANSIT_MILLISECONDS = 100
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const ALLOWED_METHODS = new Set([...IDEMPOTENT_METHODS, 'POST', 'PUT', 'PATCH', 'DELETE'])

/** Input for reading a guest's request beside the message itself. */
export interface GuestRequestContext {
  /** When the head of the request was read, in milliseconds on the clock of `performance.now()`. */
  arrivedAt: number
  sheet: Sheet | undefined
  limits: LimitSettings
  timings: TimingSettings
  stopWindow: StopWindow
  memory: MessageMemory
  cancelled: AbortSignal
}

/**
 * Reads and checks a guest's request to a service.
 *
 * @param message - the HTTP message, whose body has not been read
 * @param context - sheet, limits, timings and the signal of a disconnected guest
 * @returns the request, or the reason why it is refused
 */
export async function readGuestRequest (message: IncomingMessage, context: GuestRequestContext): Promise<RelayedRequest | RefusalReason> {
  const target = parseTarget(message.url ?? '')
  if (target === undefined) return RefusalReason.UnknownPath
  if (context.sheet === undefined) return RefusalReason.NoSheet
  const serviceEntry = context.sheet.services.get(target.service)
  if (serviceEntry === undefined) return RefusalReason.UnknownService
  const method = message.method ?? ''
  if (!ALLOWED_METHODS.has(method)) return RefusalReason.BadMethod
  const deadlineMilliseconds = parseDeadline(message.headers['hibiscusrelay-deadline'], context.timings)
  if (deadlineMilliseconds === undefined) return RefusalReason.BadDeadline
  const key = message.headers['idempotency-key']
  if (Array.isArray(key) || (key?.length ?? 0) > MAXIMUM_KEY_CHARACTERS) return RefusalReason.BadRequest
  const deadline = context.arrivedAt + deadlineMilliseconds - Math.min(MAXIMUM_ANSWER_TRANSIT_MILLISECONDS, deadlineMilliseconds * ANSWER_TRANSIT_FRACTION)
  const body = await readBodyUntil(message, context.limits.requestBodyBytes, deadline, context.stopWindow, context.memory)
  if (!Buffer.isBuffer(body)) return body
  const requestClass = IDEMPOTENT_METHODS.has(method) ? RequestClass.Idempotent : serviceEntry.requestClass
  return {
    id: randomUUID(),
    service: target.service,
    method,
    path: target.path,
    headers: listEndToEndHeaders(message).filter(({ name }) => name !== 'idempotency-key'),
    body,
    requestClass,
    key,
    deadline,
    fingerprint: fingerprintRequest({ scope: target.service, method, path: target.path, body }),
    mayWait: true,
    mayStart: () => context.stopWindow.admits(deadline),
    cancelled: context.cancelled
  }
}

interface RequestTarget {
  service: string
  path: string
}

function parseTarget (url: string): RequestTarget | undefined {
  if (!url.startsWith(SERVICES_PATH)) return undefined
  const match = /^([A-Za-z0-9._-]+)([/?].*)?$/.exec(url.slice(SERVICES_PATH.length))
  if (match === null) return undefined
  const pathAndQuery = match[2] ?? '/'
  return { service: match[1]!, path: pathAndQuery.startsWith('?') ? `/${pathAndQuery}` : pathAndQuery }
}

function parseDeadline (header: string | string[] | undefined, timings: TimingSettings): number | undefined {
  if (header === undefined) return timings.defaultDeadlineMilliseconds
  if (Array.isArray(header) || !/^\d{1,9}$/.test(header)) return undefined
  const value = Number(header)
  return value >= 1 && value <= timings.maximumDeadlineMilliseconds ? value : undefined
}
