import type { Breach } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'

/** @returns a breach for each process that ended by itself; a control host that was replaced ends in order, to join anew */
export function checkEnds ({ record: { ends } }: PlanHistory): Breach[] {
  return ends.filter(({ host, code }) => !(host.startsWith('control') && code === 0))
    .map(({ host, at, code, signal }) => ({ check: 'own-end', at, detail: `${host} ended by itself (${signal ?? `code ${code}`})` }))
}
