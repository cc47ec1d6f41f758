import type { RequestClass } from '../../types/RequestClass.js'

/** Stream of requests to one service with Poisson arrivals. */
export interface LoadStream {
  service: string
  requestClass: RequestClass
  requestsPerSecond: number
  /** Number of requests after which the stream ends, without resends. */
  maximumRequests: number
  /** Path and query below the service's path, without the leading slash. */
  path: string
  /** Time from the scheduled arrival to the complete answer. */
  deadlineMilliseconds: number
  bodyBytes: number
  /** Number of resends of each request with the same key, each at a newly picked host. */
  resends: number
  /** Time after the first sending within which all resends start. */
  resendWithinMilliseconds: number
}
