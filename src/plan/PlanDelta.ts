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
export function placeOf ({ host, pathPrefix }: PlanRoute): string {
  return `${host}${pathPrefix}`
}

/**
 * @param base - a plan
 * @param plan - a later one
 * @returns what leads from the first to the second
 */
export function diffPlans (base: RoutingPlan, plan: RoutingPlan): PlanDelta {
  const former = new Map(base.routes.map((route) => [placeOf(route), JSON.stringify(route)]))
  const places = new Set(plan.routes.map(placeOf))
  return {
    base: base.version,
    version: plan.version,
    removed: [...former.keys()].filter((place) => !places.has(place)),
    routes: plan.routes.filter((route) => former.get(placeOf(route)) !== JSON.stringify(route)),
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
  const replaced = new Set([...removed, ...routes.map(placeOf)])
  return { version, routes: [...base.routes.filter((route) => !replaced.has(placeOf(route))), ...routes], services, limits }
}
