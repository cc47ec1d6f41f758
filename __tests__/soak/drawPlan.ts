import type { Draw } from './Draw.js'
import type { SoakPlan, SoakRoute, SoakTarget } from './SoakPlan.js'

/** Services that upstreams announce; a plan names the first two and some of the others. */
export const SERVICES = ['inventory', 'orders', 'prices', 'search', 'images']
/** Number of later versions that keep a route that was added. */
const KEPT_MARKERS = 2
const LARGEST_VERSION_STEP = 3

/** The first plan of a run. */
export const INITIAL_PLAN: SoakPlan = {
  version: 1,
  base: 0,
  routes: [createRoute('/base/', [SERVICES[0]!]), createRoute('/moved/', [SERVICES[0]!]), createRoute('/marker-first/', [SERVICES[1]!])],
  services: SERVICES.slice(0, 2)
}

/**
 * Draws a change: a route is added, an older one removed, another one moved to other services, its weights or time-out changed.
 *
 * @param draw - random choices
 * @param current - plan that the change builds on
 */
export function drawChange (draw: Draw, current: SoakPlan): SoakPlan {
  const version = current.version + 1 + draw.index(LARGEST_VERSION_STEP)
  const markers = current.routes.filter(({ prefix }) => prefix.startsWith('/marker-')).slice(-KEPT_MARKERS)
  const marker = createRoute(`/marker-${version}-${draw.index(1_000_000)}/`, [draw.pick(SERVICES)])
  const moved = { ...createRoute('/moved/', draw.pickSome(SERVICES, 1 + draw.index(2))), timeoutSeconds: draw.between(1, 4) }
  if (moved.targets.length > 1) moved.targets[0]!.weight = draw.pick([0, 10, 90])
  const routes = [current.routes.find(({ prefix }) => prefix === '/base/')!, moved, ...markers, marker]
  return { version, base: current.version, routes, services: listServices(routes) }
}

/** @returns the plan with a fault for which it must be refused */
export function drawFault (draw: Draw, plan: SoakPlan): SoakPlan {
  const marker = plan.routes.at(-1)!
  const others = plan.routes.slice(0, -1)
  const withMarker = (changed: Partial<SoakRoute>): SoakPlan => ({ ...plan, routes: [...others, { ...marker, ...changed }] })
  return draw.pick([
    () => withMarker({ targets: [{ service: 'unknown', weight: 1 }] }),
    () => withMarker({ targets: [...marker.targets, { service: 'inventory', weight: -1 }] }),
    () => withMarker({ maximumAttempts: 0 }),
    () => ({ ...plan, routes: [...plan.routes, marker] }),
    () => ({ ...plan, version: plan.base })
  ])()
}

function createRoute (prefix: string, services: string[]): SoakRoute {
  return { prefix, targets: services.map((service): SoakTarget => ({ service, weight: 50 })), timeoutSeconds: 2, maximumAttempts: 2 }
}

function listServices (routes: SoakRoute[]): string[] {
  const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)))
  return SERVICES.filter((service, number) => number < 2 || used.has(service))
}
