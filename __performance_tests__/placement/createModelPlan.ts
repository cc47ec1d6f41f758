import type { RoutingPlan } from '../../src/plan/RoutingPlan.js'
import type { ModelSite } from './modelSites.js'

/** @returns routing plan with one route for each kind of request at a site */
export function createModelPlan (site: ModelSite): RoutingPlan {
  return {
    version: 1,
    routes: site.kinds.map((kind) => ({
      name: kind.name,
      host: 'model',
      pathPrefix: `/${kind.name}/`,
      requestClass: kind.requestClass,
      timeoutMilliseconds: kind.timeoutMilliseconds,
      targetLatencyMilliseconds: kind.objectiveMilliseconds,
      priority: kind.priority,
      targets: [{ service: kind.service, weight: 1 }],
      mostAttempts: 2,
      sticky: true,
      homeRegions: []
    })),
    services: site.services.map(({ name }) => ({ name, healthPath: '/health', mostConnections: 660, coldStartMilliseconds: 3_000, coldRequestsPerSecond: 8 })),
    limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 }
  }
}
