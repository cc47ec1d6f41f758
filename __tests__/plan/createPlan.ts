import type { PlanSubmission } from '../../src/plan/PlanEntry.js'
import type { GuestAccount, PlanRoute, RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { RequestClass } from '../../src/types/RequestClass.js'

/** @returns a route with the given fields, and defaults for the others */
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

/** @returns a plan with one service and the given routes */
export function createPlan (version: number, routes: PlanRoute[] = [createRoute()]): RoutingPlan {
  return {
    version,
    routes,
    services: [{ name: 'inventario', healthPath: '/health', mostConnections: 660, coldStartMilliseconds: 3_000, coldRequestsPerSecond: 8 }],
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 }
  }
}

/** @returns a submission of a plan with the default route; the variant changes its document and digest */
export function createSubmission (version: number, baseVersion: number, variant = ''): PlanSubmission {
  return { plan: createPlan(version), baseVersion, digest: `${version}-${baseVersion}-${variant}`, document: `document ${version} ${variant}` }
}

/** @returns a client account with the given fields replaced */
export function createAccount (overrides: Partial<GuestAccount> = {}): GuestAccount {
  return { name: 'account-1', keyDigests: [], requestsPerSecond: 0, burst: 0, homeRegions: [], ...overrides }
}
