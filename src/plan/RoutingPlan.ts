import type { RequestClass } from '../types/RequestClass.js'

/** One service that a route sends requests to, and its part of them. */
export interface RouteTarget {
  service: string
  /** Share of the route's requests, relative to the weights of its other targets. */
  weight: number
}

/** Which requests go where, and what their guests and operators expect. */
export interface PlanRoute {
  name: string
  /** Host name that the guest asks for. */
  host: string
  /** Start of the path, with a slash at both ends; the longest one that fits wins. */
  pathPrefix: string
  requestClass: RequestClass
  /** Longest time that a request may take here. */
  timeoutMilliseconds: number
  /** Time within which an answer is of full use to the guest. */
  targetLatencyMilliseconds: number
  /** Rank among the routes of a service; 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Most upstreams that one request may be sent to. */
  mostAttempts: number
  /** Whether an upstream answers faster when it handled the same object lately. */
  sticky: boolean
  /** Regions that may handle the requests; all when empty. */
  homeRegions: string[]
}

/** What the operator says of a service. */
export interface PlanService {
  name: string
  healthPath: string
  /** Connections that one upstream takes from all hosts together. */
  mostConnections: number
  /** How long an upstream stays cold after its start. */
  coldStartMilliseconds: number
  /** Requests per second that a cold upstream bears. */
  coldRequestsPerSecond: number
}

/** What a guest may send, and how long it may take. */
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
}
