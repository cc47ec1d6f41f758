import type { Draw } from '../Draw.js'
import type { SoakPlan, SoakRoute } from '../SoakPlan.js'

/** Prefixes of the routes of raw guests; requests of the second one may run once at most. */
export const IDEMPOTENT_PREFIX = '/raw-again/'
export const ONCE_PREFIX = '/raw-once/'
/** Services of raw upstreams. */
export const RAW_SERVICES = ['raw-again', 'raw-once']
/** Shortest time-out of the routes of raw guests, in milliseconds. */
export const SHORTEST_TIMEOUT_MILLISECONDS = 2_000
const LONGEST_TIMEOUT_MILLISECONDS = 4_000

/** @returns the routes of a plan that are not those of raw guests */
export function listPlainRoutes ({ routes }: SoakPlan): SoakRoute[] {
  return routes.filter(({ prefix }) => prefix !== IDEMPOTENT_PREFIX && prefix !== ONCE_PREFIX)
}

/** @returns the plan with the routes of raw guests, with other time-outs than before */
export function addRawRoutes (draw: Draw, plan: SoakPlan): SoakPlan {
  const routes = [IDEMPOTENT_PREFIX, ONCE_PREFIX].map((prefix, number): SoakRoute => ({
    prefix,
    targets: [{ service: RAW_SERVICES[number]!, weight: 1 }],
    timeoutSeconds: draw.between(SHORTEST_TIMEOUT_MILLISECONDS, LONGEST_TIMEOUT_MILLISECONDS) / 1_000,
    maximumAttempts: 2,
    isOnce: prefix === ONCE_PREFIX
  }))
  return { ...plan, routes: [...routes, ...plan.routes], services: [...plan.services, ...RAW_SERVICES] }
}
