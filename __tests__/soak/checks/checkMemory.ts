import type { Breach } from '../SoakRecord.js'
import type { PlanHistory } from './PlanHistory.js'

/** Memory of the smallest machine of each role, in KiB. */
const MEMORY_KIB = { control: 346 * 1_024, entry: 202 * 1_024 }

/** @returns a breach for each host whose resident memory reached the memory of the smallest machine of its role */
export function checkMemory ({ record: { peaks } }: PlanHistory): Breach[] {
  return [...peaks].filter(([host, { kib }]) => kib >= MEMORY_KIB[host.startsWith('entry') ? 'entry' : 'control'])
    .map(([host, { at, kib }]) => ({ check: 'memory', at, detail: `${host} held ${Math.round(kib / 1_024)} MB` }))
}
