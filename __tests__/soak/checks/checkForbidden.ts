import type { Breach } from '../SoakRecord.js'
import { findAcknowledgement, isRefused, type PlanHistory } from './PlanHistory.js'

/** @returns a breach for each plan that is invalid, was refused or lost a race, and was acknowledged, read, or in force */
export function checkForbidden (history: PlanHistory): Breach[] {
  const { orders, reads, observations } = history.record
  const acknowledged = orders.flatMap((order) => {
    const at = findAcknowledgement(order.attempts)
    if (at === undefined || (order.isValid && !isRefused(order))) return []
    return [{ check: 'forbidden', at, detail: `order ${order.id}, version ${order.plan.version}, ${order.isValid ? 'refused and' : 'invalid, but'} acknowledged` }]
  })
  const read = reads.filter(({ status }) => status === 200).flatMap(({ text, controlHost, sentAt }) => {
    if (orders.some((order) => order.body === text && history.isAllowed(order))) return []
    return [{ check: 'forbidden', at: sentAt, detail: `control-${controlHost} answered a read with a plan that may not be in force: ${text.slice(0, 60)}` }]
  })
  const inForce = observations.filter(({ handling }) => handling !== undefined).flatMap((observation) => {
    if (history.listPossibleVersions(observation).length > 0) return []
    const { entryHost, path, handling, sentAt } = observation
    return [{ check: 'forbidden', at: sentAt, detail: `entry-${entryHost} handled ${path} as ${handling}: only orders ${history.listForbidden(observation).map(({ id }) => id).join(',')} say so` }]
  })
  return [...acknowledged, ...read, ...inForce]
}
