import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { fingerprintRequest } from '../relay/fingerprintRequest.js'
import type { RelayedRequest } from '../relay/RelayedRequest.js'
import type { LimitSettings, TimingSettings } from '../settings/Settings.js'
import { readBodyUntil } from '../transport/readBodyUntil.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RequestClass } from '../types/RequestClass.js'
import type { Sheet } from '../types/Sheet.js'
import { listEndToEndHeaders } from './listEndToEndHeaders.js'

/** Path under which guests reach services. */
export const SERVICES_PATH = '/v1/services/'

const LONGEST_KEY = 512
/** Part of the guest's time that is kept for the way of the answer, so that a late outcome is still told in time. */
const ANSWER_WAY_SHARE = 0.05
const LONGEST_ANSWER_WAY_MILLISECONDS = 100
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const METHODS = new Set([...IDEMPOTENT_METHODS, 'POST', 'PUT', 'PATCH', 'DELETE'])

/** What reading a guest's request needs. */
export interface GuestRequestContext {
  sheet: Sheet | undefined
  limits: LimitSettings
  timings: TimingSettings
  cancelled: AbortSignal
}

/**
 * Reads and checks a guest's request to a service.
 *
 * @param message - the message as it arrives
 * @param context - sheet, limits and timings
 * @returns the request, or why it is refused
 */
export async function readGuestRequest (message: IncomingMessage, context: GuestRequestContext): Promise<RelayedRequest | RefusalReason> {
  const started = performance.now()
  const target = splitTarget(message.url ?? '')
  if (target === undefined) return RefusalReason.UnknownPath
  if (context.sheet === undefined) return RefusalReason.NoSheet
  const entry = context.sheet.services.get(target.service)
  if (entry === undefined) return RefusalReason.UnknownService
  const method = message.method ?? ''
  if (!METHODS.has(method)) return RefusalReason.BadMethod
  const deadlineMilliseconds = readDeadline(message.headers['hibiscusrelay-deadline'], context.timings)
  if (deadlineMilliseconds === undefined) return RefusalReason.BadDeadline
  const key = message.headers['idempotency-key']
  if (Array.isArray(key) || (key?.length ?? 0) > LONGEST_KEY) return RefusalReason.BadRequest
  const deadline = started + deadlineMilliseconds - Math.min(LONGEST_ANSWER_WAY_MILLISECONDS, deadlineMilliseconds * ANSWER_WAY_SHARE)
  const body = await readBodyUntil(message, context.limits.requestBodyBytes, deadline)
  if (!Buffer.isBuffer(body)) return body
  const requestClass = IDEMPOTENT_METHODS.has(method) ? RequestClass.Idempotent : entry.requestClass
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
    fingerprint: fingerprintRequest({ service: target.service, method, path: target.path, body }),
    mayWait: true,
    mayStart: () => true,
    cancelled: context.cancelled
  }
}

interface Target {
  service: string
  path: string
}

function splitTarget (url: string): Target | undefined {
  if (!url.startsWith(SERVICES_PATH)) return undefined
  const match = /^([A-Za-z0-9._-]+)([/?].*)?$/.exec(url.slice(SERVICES_PATH.length))
  if (match === null) return undefined
  const rest = match[2] ?? '/'
  return { service: match[1]!, path: rest.startsWith('?') ? `/${rest}` : rest }
}

function readDeadline (header: string | string[] | undefined, timings: TimingSettings): number | undefined {
  if (header === undefined) return timings.defaultDeadlineMilliseconds
  if (Array.isArray(header) || !/^\d{1,9}$/.test(header)) return undefined
  const value = Number(header)
  return value >= 1 && value <= timings.maximumDeadlineMilliseconds ? value : undefined
}
