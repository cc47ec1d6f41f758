import type { PlanRoute, RoutingPlan } from './RoutingPlan.js'

/** Finds the route of a request. */
export class RouteTable {
  /** Routes of each host name, longest prefix first. */
  readonly #routesByHost = new Map<string, PlanRoute[]>()

  /** @param plan - the plan in force */
  constructor (plan: RoutingPlan) {
    for (const route of plan.routes) {
      const routes = this.#routesByHost.get(route.host)
      if (routes === undefined) this.#routesByHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this.#routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  }

  /**
   * @param host - host name of the request, without a port
   * @param path - path of the request, with or without a query
   * @returns the route with the longest matching prefix, undefined when none matches
   */
  find (host: string, path: string): PlanRoute | undefined {
    return this.#routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }
}
