import type { Breach } from '../SoakRecord.js'
import { findAcknowledgement, type PlanHistory } from './PlanHistory.js'

/** @returns a breach for each version on which two changes were acknowledged */
export function checkOneWinner (history: PlanHistory): Breach[] {
  const winners = new Map<number, number>()
  return history.record.orders.flatMap(({ id, plan, attempts }) => {
    const at = findAcknowledgement(attempts)
    if (at === undefined) return []
    const other = winners.get(plan.base)
    winners.set(plan.base, id)
    return other === undefined ? [] : [{ check: 'one-winner', at, detail: `orders ${other} and ${id} on version ${plan.base} are both acknowledged` }]
  })
}
