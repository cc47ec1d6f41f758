import type { Breach, PlanOrder } from '../SoakRecord.js'
import { findAcknowledgement, isRefusal, isRefused, type PlanHistory } from './PlanHistory.js'

/** @returns a breach for each change that was refused though it was acknowledged and no other was sent since, and for each valid one that was refused without a rival */
export function checkResent (history: PlanHistory): Breach[] {
  const { orders } = history.record
  return orders.flatMap((order) => [...checkAfterAcknowledgement(order, orders), ...checkRivals(order, orders)])
}

function checkAfterAcknowledgement (order: PlanOrder, orders: PlanOrder[]): Breach[] {
  const acknowledgedAt = findAcknowledgement(order.attempts)
  if (acknowledgedAt === undefined) return []
  const isReplaced = (before: number): boolean => orders.some(({ plan, isValid, attempts }) => isValid && plan.base >= order.plan.version && attempts[0]!.sentAt < before)
  return order.attempts.filter(({ sentAt, endedAt, status = 0 }) => sentAt >= acknowledgedAt && isRefusal(status) && !isReplaced(endedAt))
    .map(({ sentAt, status }) => ({ check: 'resent', at: sentAt, detail: `order ${order.id} was refused with ${status} after it had been acknowledged` }))
}

function checkRivals (order: PlanOrder, orders: PlanOrder[]): Breach[] {
  if (!order.isValid || !isRefused(order)) return []
  const rivals = orders.filter((other) => other !== order && other.isValid && !isRefused(other) && other.plan.version > order.plan.base && other.attempts[0]!.sentAt < order.attempts.at(-1)!.endedAt)
  if (rivals.length > 0) return []
  return [{ check: 'resent', at: order.attempts.at(-1)!.endedAt, detail: `order ${order.id} on version ${order.plan.base} was refused, and no other change replaced that version` }]
}
