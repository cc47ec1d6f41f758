import { LatencyHistogram } from '../../src/cli/load/LatencyHistogram.js'
import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'
import { Outcome } from '../../src/types/Outcome.js'
import { collectRecords, describeRecords, type Measure } from './runMeasures.js'
import type { World } from './World.js'

/** Reason of an attempt that the guest itself aborted at its timeout. */
const GUEST_TIMEOUT_REASON = 'TimeoutError'

/** Number of requests with an outcome: `NAME [LOAD]`, by default of all loads. */
export function countRequestsWithOutcome (outcome: Outcome | undefined): Measure {
  return (world, [name]) => {
    const matching = selectRecords(world, name).filter((record) => record.answer.outcome === outcome)
    return { value: matching.length, detail: `${describeReasons(matching)} ${describeRecords(matching)}` }
  }
}

/** Number of requests that were refused, have an unknown outcome, or got no answer: `failed [LOAD]`. */
export const countFailedRequests: Measure = (world, [name]) => {
  const matching = selectRecords(world, name).filter((record) => record.answer.outcome !== Outcome.Ran)
  return { value: matching.length, detail: `of ${selectRecords(world, name).length}: ${describeReasons(matching)} ${describeRecords(matching)}` }
}

/** Number of requests with an attempt whose connection broke before the complete answer arrived: `cut-off [LOAD]`. */
export const countRequestsWithBrokenAttempt: Measure = (world, [name]) => {
  const matching = selectRecords(world, name).filter((record) => record.answer.lostAttempts > 0)
  return { value: matching.length, detail: describeRecords(matching) }
}

/** Number of requests with an attempt whose connection a host broke: `cut-off-by HOST`. */
export const countRequestsBrokenByHost: Measure = (world, [word]) => {
  const addresses = world.selectHosts(word ?? '').map((host) => host.guestAddress)
  const matching = collectRecords(world).filter(({ answer }) => {
    return answer.lostHostAddresses.some((host, index) => addresses.includes(host) && answer.lostReasons[index] !== GUEST_TIMEOUT_REASON)
  })
  return { value: matching.length, detail: describeRecords(matching) }
}

/** Number of requests whose answer has a reason: `reason REASON [LOAD]`. */
export const countRequestsWithReason: Measure = (world, [reason, name]) => {
  const matching = selectRecords(world, name).filter((record) => record.answer.reason === reason)
  return { value: matching.length, detail: describeRecords(matching) }
}

/** 99th percentile of the latency of requests that ran, in milliseconds: `p99 [LOAD]`. */
export const measureLatencyP99: Measure = (world, [name]) => {
  const histogram = new LatencyHistogram()
  for (const record of selectRecords(world, name)) {
    if (record.answer.outcome === Outcome.Ran) histogram.record(record.latencyMilliseconds)
  }
  return { value: histogram.summarize().p99 }
}

/** Longest time between successive answers of requests that ran, in milliseconds: `gap [LOAD]`. */
export const measureLongestGap: Measure = (world, [name]) => {
  const answeredAt = selectRecords(world, name)
    .filter((record) => record.answer.outcome === Outcome.Ran)
    .map((record) => record.intendedMilliseconds + record.latencyMilliseconds)
    .sort((left, right) => left - right)
  const gaps = answeredAt.slice(1).map((end, index) => end - (answeredAt[index] ?? end))
  return { value: Math.max(0, ...gaps) }
}

function selectRecords (world: World, name: string | undefined): LoadRecord[] {
  if (name === undefined) return collectRecords(world)
  const load = world.loads.get(name)
  if (load === undefined) throw new Error(`no load is named ${name}`)
  return load.records
}

function describeReasons (records: LoadRecord[]): string {
  const counts = new Map<string, number>()
  for (const { answer } of records) counts.set(answer.reason, (counts.get(answer.reason) ?? 0) + 1)
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ')
}
