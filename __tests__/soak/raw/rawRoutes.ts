import type { Draw } from '../Draw.js'
import type { SoakPlan, SoakRoute } from '../SoakPlan.js'

/** Prefixes of the routes of raw guests; requests of the second one may run once at most. */
export const IDEMPOTENT_PREFIX = '/raw-again/'
export const ONCE_PREFIX = '/raw-once/'
/** Prefix and service of guests whose upstreams do nothing wrong; its time-out is the shortest one. */
export const SOUND_PREFIX = '/sound/'
export const SOUND_SERVICE = 'sound'
/** Services of raw upstreams. */
export const RAW_SERVICES = ['raw-again', 'raw-once']
/** Shortest time-out of the routes of raw guests, in milliseconds. */
export const SHORTEST_TIMEOUT_MILLISECONDS = 2_000
const LONGEST_TIMEOUT_MILLISECONDS = 4_000

/** @returns the routes of a plan that were not added to it for raw guests and guests of sound upstreams */
export function listPlainRoutes ({ routes }: SoakPlan): SoakRoute[] {
  return routes.filter(({ prefix }) => ![IDEMPOTENT_PREFIX, ONCE_PREFIX, SOUND_PREFIX].includes(prefix))
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

/** @returns the plan with the routes of raw guests, and that of guests whose upstreams are sound */
export function addSoundRoute (draw: Draw, plan: SoakPlan): SoakPlan {
  const { routes, services, ...rest } = addRawRoutes(draw, plan)
  const route = { prefix: SOUND_PREFIX, targets: [{ service: SOUND_SERVICE, weight: 1 }], timeoutSeconds: SHORTEST_TIMEOUT_MILLISECONDS / 1_000, maximumAttempts: 2 }
  return { ...rest, routes: [route, ...routes], services: [...services, SOUND_SERVICE] }
}
