import type { PlanSubmission } from '../../src/plan/PlanEntry.js'
import type { PlanRoute, RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { RequestClass } from '../../src/types/RequestClass.js'

/** @returns a route with the parts that a test names */
export function routeOf (part: Partial<PlanRoute> = {}): PlanRoute {
  return {
    name: 'lookups',
    host: 'stock.example',
    pathPrefix: '/lookups/',
    requestClass: RequestClass.Idempotent,
    timeoutMilliseconds: 1_500,
    targetLatencyMilliseconds: 600,
    priority: 1,
    targets: [{ service: 'inventario', weight: 1 }],
    mostAttempts: 2,
    sticky: true,
    homeRegions: [],
    ...part
  }
}

/** @returns a plan of one service with the routes given */
export function planOf (version: number, routes: PlanRoute[] = [routeOf()]): RoutingPlan {
  return {
    version,
    routes,
    services: [{ name: 'inventario', healthPath: '/health', mostConnections: 660, coldStartMilliseconds: 3_000, coldRequestsPerSecond: 8 }],
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 }
  }
}

/** @returns a submission of such a plan */
export function submissionOf (version: number, baseVersion: number, mark = ''): PlanSubmission {
  return { plan: planOf(version), baseVersion, digest: `${version}-${baseVersion}-${mark}`, document: `document ${version} ${mark}` }
}
