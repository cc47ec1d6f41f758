import type { ListenerLimits, PlanRoute, PlanService, RoutingPlan } from './RoutingPlan.js'

/** Difference between a plan and a later one. */
export interface PlanDelta {
  /** Version of the plan that the delta applies to. */
  base: number
  version: number
  /** Keys of removed routes, see {@link formatRouteKey}. */
  removed: string[]
  /** New and changed routes. */
  routes: PlanRoute[]
  services: PlanService[]
  limits: ListenerLimits
}

/** @returns host and path prefix of a route, which together are unique within a plan */
export function formatRouteKey ({ host, pathPrefix }: PlanRoute): string {
  return `${host}${pathPrefix}`
}

/**
 * @param base - a plan
 * @param plan - a later one
 * @returns the difference between the two
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
 * @param base - the plan that the delta applies to
 * @param delta - result of {@link diffPlans}
 * @returns the later plan; the order of its routes may differ, which has no effect
 */
export function applyPlanDelta (base: RoutingPlan, { version, removed, routes, services, limits }: PlanDelta): RoutingPlan {
  const replacedKeys = new Set([...removed, ...routes.map(formatRouteKey)])
  return { version, routes: [...base.routes.filter((route) => !replacedKeys.has(formatRouteKey(route))), ...routes], services, limits }
}
