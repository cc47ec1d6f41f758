import type { RequestClass } from '../../types/RequestClass.js'

/** One stream of requests with Poisson arrivals. */
export interface LoadStream {
  service: string
  requestClass: RequestClass
  requestsPerSecond: number
  /** Most requests to send. */
  maximumRequests: number
  /** Path and query after the service's name, without the leading slash. */
  path: string
  /** Time that each guest allows for its whole answer. */
  deadlineMilliseconds: number
  bodyBytes: number
  /** How many times each request is sent again with the same key, through other hosts. */
  resends: number
  /** The longest time after a request at which it is sent again. */
  resendWithinMilliseconds: number
}
