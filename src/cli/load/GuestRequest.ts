import type { RequestClass } from '../../types/RequestClass.js'

/** A request as its guest sees it. */
export interface GuestRequest {
  /** Identifier of this sending, unlike the key also of resends; upstreams may log it. */
  sending?: string
  service: string
  requestClass: RequestClass
  /** Path and query after the service's name, without the leading slash. */
  path: string
  body: Buffer
  /** The guest's own key, of one-time actions. */
  guestKey: string | undefined
  /** Ticket prefix to use; the look-up's when undefined. */
  ticket: string | undefined
  /** Latest end by the monotonic clock, in milliseconds. */
  deadline: number
}
