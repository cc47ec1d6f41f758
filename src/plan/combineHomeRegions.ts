import type { GuestAccount, PlanRoute } from './RoutingPlan.js'

/**
 * @param route - route of a request
 * @param account - client account of the request, undefined for none
 * @returns regions that may handle the request: those that both allow, none if there is none; undefined for all
 */
export function combineHomeRegions ({ homeRegions }: Pick<PlanRoute, 'homeRegions'>, account: Pick<GuestAccount, 'homeRegions'> | undefined): readonly string[] | undefined {
  const lists = [homeRegions, account?.homeRegions ?? []].filter((regions) => regions.length > 0)
  if (lists.length === 0) return undefined
  return lists.reduce((common, regions) => common.filter((region) => regions.includes(region)))
}
