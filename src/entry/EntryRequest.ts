import type { PlanRoute } from '../plan/RoutingPlan.js'
import type { RequestAccess } from './authorizeRequest.js'
import type { HeaderField } from '../relay/RelayedRequest.js'

/** A guest's request as the entry host received it. */
export interface EntryRequest {
  /** Identifier of this attempt of the guest. */
  id: string
  method: string
  /** Path and query. */
  path: string
  headers: HeaderField[]
  body: Buffer
  route: PlanRoute
  /** Present where the plan has client accounts. */
  access?: RequestAccess
  /** The object that the request is about, if the guest named one. */
  objectKey: string | undefined
  /** When the guest stops waiting, on the clock of `performance.now()`. */
  guestDeadline: number
  /** When an answer is due at this host: the guest's deadline or the route's timeout, whichever comes first. */
  deadline: number
  arrivedAt: number
  /** Time that its body took to arrive. */
  readMilliseconds: number
  /** Aborted when the guest disconnects. */
  cancelled: AbortSignal
  /** Calls a function once the guest has its answer, or its connection is closed. */
  releaseAfter?: (release: () => void) => void
}
