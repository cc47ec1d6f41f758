import { LatencyHistogram } from '../../src/cli/load/LatencyHistogram.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import { Outcome } from '../../src/types/Outcome.js'
import { allRecords, describeRecords, type Measure } from './runMeasures.js'
import type { World } from './World.js'

/** Reason of a sending that the guest itself gave up. */
const GIVEN_UP_REASON = 'TimeoutError'

/** Requests with an outcome: `NAME [LOAD]`, of all loads without one. */
export function countOutcomes (outcome: Outcome | undefined): Measure {
  return (world, [name]) => {
    const found = recordsOf(world, name).filter((record) => record.answer.outcome === outcome)
    return { value: found.length, detail: `${describeReasons(found)} ${describeRecords(found)}` }
  }
}

/** Requests that were refused or got no answer, whatever they were told: `failed [LOAD]`. */
export const failed: Measure = (world, [name]) => {
  const found = recordsOf(world, name).filter((record) => record.answer.outcome !== Outcome.Ran)
  return { value: found.length, detail: `of ${recordsOf(world, name).length}: ${describeReasons(found)} ${describeRecords(found)}` }
}

/** Sendings whose connection broke before the whole answer came: `cut-off [LOAD]`. */
export const cutOff: Measure = (world, [name]) => {
  const found = recordsOf(world, name).filter((record) => record.answer.lostAttempts > 0)
  return { value: found.length, detail: describeRecords(found) }
}

/** Sendings that a host cut off: `cut-off-by HOST`. */
export const cutOffBy: Measure = (world, [word]) => {
  const addresses = world.selectHosts(word ?? '').map((host) => host.guestAddress)
  const found = allRecords(world).filter(({ answer }) => {
    return answer.lostHostAddresses.some((host, index) => addresses.includes(host) && answer.lostReasons[index] !== GIVEN_UP_REASON)
  })
  return { value: found.length, detail: describeRecords(found) }
}

/** Requests with a reason: `reason REASON [LOAD]`. */
export const countReasons: Measure = (world, [reason, name]) => {
  const found = recordsOf(world, name).filter((record) => record.answer.reason === reason)
  return { value: found.length, detail: describeRecords(found) }
}

/** 99th percentile of the latency of requests that ran, in milliseconds: `p99 [LOAD]`. */
export const p99: Measure = (world, [name]) => {
  const histogram = new LatencyHistogram()
  for (const record of recordsOf(world, name)) {
    if (record.answer.outcome === Outcome.Ran) histogram.record(record.latencyMilliseconds)
  }
  return { value: histogram.summarize().p99 }
}

/** Longest time without an answer that ran, in milliseconds: `gap [LOAD]`. */
export const gap: Measure = (world, [name]) => {
  const ends = recordsOf(world, name)
    .filter((record) => record.answer.outcome === Outcome.Ran)
    .map((record) => record.intendedMilliseconds + record.latencyMilliseconds)
    .sort((left, right) => left - right)
  const gaps = ends.slice(1).map((end, index) => end - (ends[index] ?? end))
  return { value: Math.max(0, ...gaps) }
}

function recordsOf (world: World, name: string | undefined): LoadRecord[] {
  if (name === undefined) return allRecords(world)
  const load = world.loads.get(name)
  if (load === undefined) throw new Error(`no load is named ${name}`)
  return load.records
}

function describeReasons (records: LoadRecord[]): string {
  const counts = new Map<string, number>()
  for (const { answer } of records) counts.set(answer.reason, (counts.get(answer.reason) ?? 0) + 1)
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ')
}
