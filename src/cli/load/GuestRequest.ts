import type { RequestClass } from '../../types/RequestClass.js'

/** A request that a guest sends. */
export interface GuestRequest {
  /** Identifier of this sending; a resend has another one, though the same key. Upstreams may log it. */
  sending?: string
  service: string
  requestClass: RequestClass
  /** Path and query below the service's path, without the leading slash. */
  path: string
  body: Buffer
  /** Part of the idempotency key that the guest chooses; undefined unless the request is a one-time action. */
  guestKey: string | undefined
  /** Ticket to use as prefix of the key; undefined to use that of the lookup. */
  ticket: string | undefined
  /** End of the time for the answer by the monotonic clock, in milliseconds. */
  deadline: number
}
