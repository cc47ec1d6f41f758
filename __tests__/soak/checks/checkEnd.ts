import type { Breach } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'
import { readVersion } from './checkReads.js'

/** @returns a breach when the newest acknowledged plan is not read, as it was sent, within the time to recover after all processes are back */
export function checkEnd (history: PlanHistory): Breach[] {
  const { allBackAt, reads, orders } = history.record
  const newest = history.findAcknowledgedVersion(Number.POSITIVE_INFINITY)
  const final = reads.filter(({ sentAt, answeredAt, status }) => sentAt > allBackAt && answeredAt < history.recoveryDeadline && status === 200)
  if (final.length === 0) return [{ check: 'end', at: allBackAt, detail: `no control host answered a read within ${Math.round(history.recoveryDeadline - allBackAt)} ms; version ${newest} is acknowledged` }]
  const read = final.at(-1)!
  const version = readVersion(read)
  const isAsSent = orders.some(({ plan, body }) => plan.version === version && body === read.text)
  if (version >= newest && isAsSent) return []
  return [{ check: 'end', at: read.sentAt, detail: `control-${read.controlHost} answered with version ${version}${isAsSent ? '' : ', not as it was sent'}; version ${newest} is acknowledged` }]
}
