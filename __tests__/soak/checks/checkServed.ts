import type { Breach, GuestObservation } from '../SoakRecord.js'
import { NO_ROUTE } from '../SoakPlan.js'
import { ANNOUNCE_MILLISECONDS, findAcknowledgement, type PlanHistory } from './PlanHistory.js'

const FEWEST_REQUESTS = 5
const BASE_PREFIX = '/base/'
const FEWEST_BASE_SHARE = 0.5

/** @returns a breach for each route that was added and is not served, in calm times or at the end, though the first route is */
export function checkServed (history: PlanHistory): Breach[] {
  const { finalRoutes, allBackAt } = history.record
  const unserved = finalRoutes.filter(({ servedAt }) => servedAt === undefined).map(({ entryHost, path }) => ({ check: 'served', at: allBackAt, detail: `entry-${entryHost} did not serve ${path} at the end` }))
  return [...unserved, ...checkCalmTimes(history)]
}

function checkCalmTimes (history: PlanHistory): Breach[] {
  const calm = history.record.observations.filter(({ entryHost, sentAt, answeredAt }) => history.isInTouch(entryHost, answeredAt) && history.isInTouch(entryHost, sentAt - ANNOUNCE_MILLISECONDS))
  const countServed = (observations: GuestObservation[]): number => observations.filter(({ handling }) => handling !== undefined && handling !== NO_ROUTE).length
  return history.record.orders.flatMap(({ id, plan, attempts }) => {
    const acknowledgedAt = findAcknowledgement(attempts)
    if (acknowledgedAt === undefined) return []
    const after = calm.filter(({ sentAt }) => sentAt > acknowledgedAt + ANNOUNCE_MILLISECONDS && history.findAcknowledgedVersion(sentAt) === plan.version)
    const base = after.filter(({ path }) => path.startsWith(BASE_PREFIX))
    if (base.length === 0 || countServed(base) < FEWEST_BASE_SHARE * base.length) return []
    return plan.routes.flatMap(({ prefix }) => {
      const requests = after.filter(({ path }) => path.startsWith(prefix))
      if (requests.length < FEWEST_REQUESTS || countServed(requests) > 0) return []
      return [{ check: 'served', at: requests[0]!.sentAt, detail: `none of ${requests.length} requests on ${prefix} was served in calm times after order ${id}` }]
    })
  })
}
