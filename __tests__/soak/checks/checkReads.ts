import type { Breach, PlanRead } from '../SoakRecord.js'
import { APPLY_MILLISECONDS, type PlanHistory } from './PlanHistory.js'

/** @returns the version in the answer to a read */
export function readVersion ({ text }: PlanRead): number {
  return Number.parseInt((JSON.parse(text) as { version: string }).version, 16)
}

/** @returns a breach for each read that was answered with an older version than was acknowledged long enough before it */
export function checkReads (history: PlanHistory): Breach[] {
  return history.record.reads.filter(({ status }) => status === 200).flatMap((read) => {
    const required = history.findAcknowledgedVersion(read.sentAt - APPLY_MILLISECONDS)
    if (readVersion(read) >= required) return []
    return [{ check: 'reads', at: read.sentAt, detail: `control-${read.controlHost} answered a read with version ${readVersion(read)} after ${required} was acknowledged` }]
  })
}
