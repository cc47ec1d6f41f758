import type { ListenerLimits, PlanRoute, PlanService, RoutingPlan } from './RoutingPlan.js'

/** What leads from one plan to a later one. */
export interface PlanDelta {
  /** Version that it builds on. */
  base: number
  version: number
  /** Places of routes that are gone. */
  removed: string[]
  /** Routes that are new or changed. */
  routes: PlanRoute[]
  services: PlanService[]
  limits: ListenerLimits
}

/** @returns host and path prefix of a route, of which a plan has each once */
export function formatRouteKey ({ host, pathPrefix }: PlanRoute): string {
  return `${host}${pathPrefix}`
}

/**
 * @param base - a plan
 * @param plan - a later one
 * @returns what leads from the first to the second
 */
export function diffPlans (base: RoutingPlan, plan: RoutingPlan): PlanDelta {
  const baseRoutesByKey = new Map(base.routes.map((route) => [formatRouteKey(route), JSON.stringify(route)]))
  const routeKeys = new Set(plan.routes.map(formatRouteKey))
  return {
    base: base.version,
    version: plan.version,
    removed: [...baseRoutesByKey.keys()].filter((key) => !routeKeys.has(key)),
    routes: plan.routes.filter((route) => baseRoutesByKey.get(formatRouteKey(route)) !== JSON.stringify(route)),
    services: plan.services,
    limits: plan.limits
  }
}

/**
 * @param base - the plan that the delta builds on
 * @param delta - result of {@link diffPlans}
 * @returns the later plan; the order of its routes, which means nothing, may differ
 */
export function applyPlanDelta (base: RoutingPlan, { version, removed, routes, services, limits }: PlanDelta): RoutingPlan {
  const replacedKeys = new Set([...removed, ...routes.map(formatRouteKey)])
  return { version, routes: [...base.routes.filter((route) => !replacedKeys.has(formatRouteKey(route))), ...routes], services, limits }
}
