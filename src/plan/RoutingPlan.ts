import type { RequestClass } from '../types/RequestClass.js'

/** A service that a route sends requests to, and its share of them. */
export interface RouteTarget {
  service: string
  /** Share of the route's requests, relative to the weights of its other targets. */
  weight: number
}

/** Requests of one host name and path prefix: their targets, and the limits and objectives that apply to them. */
export interface PlanRoute {
  name: string
  /** Host name in the request. */
  host: string
  /** Start of the path, with a slash at both ends; the longest matching prefix wins. */
  pathPrefix: string
  requestClass: RequestClass
  /** Maximum time that a request may take at the entry host. */
  timeoutMilliseconds: number
  /** Time within which an answer has its full value for the guest. */
  targetLatencyMilliseconds: number
  /** Priority among the routes of a service; 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Maximum number of times that one request may be sent to an upstream. */
  mostAttempts: number
  /** Whether an upstream answers faster when it has handled the same object recently. */
  sticky: boolean
  /** Regions that may handle the requests; all when empty. */
  homeRegions: string[]
  /** Whether answers are large, so that links between failure domains matter more than a further copy of an object; by default they are not. */
  hasLargeAnswers?: true
  /** Whether requests need no key although the plan has client accounts; by default they need one. */
  isPublic?: true
}

/** A client account: its guests' requests carry one of its keys, and share its quota. */
export interface GuestAccount {
  name: string
  /** Digests of its keys, see {@link digestKey}; the keys themselves stay in the operator's document. */
  keyDigests: string[]
  /** Priority of its requests in place of that of their routes; 0 is the most urgent. */
  priority?: number
  /** Requests per second over all hosts together; 0 for no limit. */
  requestsPerSecond: number
  /** Requests beyond that rate that may come at once. */
  burst: number
  /** Regions that may handle its requests; all when empty. */
  homeRegions: string[]
}

/** An operator's configuration of a service. */
export interface PlanService {
  name: string
  healthPath: string
  /** Maximum number of connections that one upstream accepts from all hosts together. */
  mostConnections: number
  /** How long an upstream stays cold after its start. */
  coldStartMilliseconds: number
  /** Requests per second that a cold upstream can take. */
  coldRequestsPerSecond: number
}

/** Limits on the size and the duration of guests' requests. */
export interface ListenerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMilliseconds: number
  /** How long a connection without a request stays open. */
  idleTimeoutMilliseconds: number
}

/** An operator's complete configuration of routes and services. */
export interface RoutingPlan {
  version: number
  routes: PlanRoute[]
  services: PlanService[]
  limits: ListenerLimits
  /** Client accounts; absent when requests need no key. */
  accounts?: GuestAccount[]
}
