import type { GuestAccount, ListenerLimits, PlanRoute, PlanService, RoutingPlan } from './RoutingPlan.js'

/** Difference between the client accounts of two plans. */
export interface AccountDelta {
  /** Names of removed accounts. */
  removed: string[]
  /** New and changed accounts. */
  changed: GuestAccount[]
}

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
  /** Absent when the later plan has no client accounts. */
  accounts?: AccountDelta
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
    limits: plan.limits,
    accounts: plan.accounts === undefined ? undefined : diffAccounts(base.accounts ?? [], plan.accounts)
  }
}

/**
 * @param base - the plan that the delta applies to
 * @param delta - result of {@link diffPlans}
 * @returns the later plan; the order of its routes may differ, which has no effect
 */
export function applyPlanDelta (base: RoutingPlan, { version, removed, routes, services, limits, accounts }: PlanDelta): RoutingPlan {
  const replacedKeys = new Set([...removed, ...routes.map(formatRouteKey)])
  const plan: RoutingPlan = { version, routes: [...base.routes.filter((route) => !replacedKeys.has(formatRouteKey(route))), ...routes], services, limits }
  return accounts === undefined ? plan : { ...plan, accounts: applyAccountDelta(base.accounts ?? [], accounts) }
}

function diffAccounts (base: readonly GuestAccount[], accounts: readonly GuestAccount[]): AccountDelta {
  const baseAccountsByName = new Map(base.map((account) => [account.name, JSON.stringify(account)]))
  const names = new Set(accounts.map(({ name }) => name))
  return {
    removed: [...baseAccountsByName.keys()].filter((name) => !names.has(name)),
    changed: accounts.filter((account) => baseAccountsByName.get(account.name) !== JSON.stringify(account))
  }
}

function applyAccountDelta (base: readonly GuestAccount[], { removed, changed }: AccountDelta): GuestAccount[] {
  const replacedNames = new Set([...removed, ...changed.map(({ name }) => name)])
  return [...base.filter(({ name }) => !replacedNames.has(name)), ...changed]
}
