import type { PlanSubmission } from '../../src/plan/PlanEntry.js'
import type { PlanRoute, RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { RequestClass } from '../../src/types/RequestClass.js'

/** @returns a route with the parts that a test names */
export function createRoute (overrides: Partial<PlanRoute> = {}): PlanRoute {
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
    ...overrides
  }
}

/** @returns a plan of one service with the routes given */
export function createPlan (version: number, routes: PlanRoute[] = [createRoute()]): RoutingPlan {
  return {
    version,
    routes,
    services: [{ name: 'inventario', healthPath: '/health', mostConnections: 660, coldStartMilliseconds: 3_000, coldRequestsPerSecond: 8 }],
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 }
  }
}

/** @returns a submission of such a plan */
export function createSubmission (version: number, baseVersion: number, variant = ''): PlanSubmission {
  return { plan: createPlan(version), baseVersion, digest: `${version}-${baseVersion}-${variant}`, document: `document ${version} ${variant}` }
}
