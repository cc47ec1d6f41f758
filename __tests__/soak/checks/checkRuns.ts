import { AnswerEnd } from '../raw/RawRecord.js'
import type { Breach } from '../SoakRecord.js'
import { groupRuns } from './groupRuns.js'
import type { PlanHistory } from './PlanHistory.js'

/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503]

/** @returns a breach for each request that an upstream got though no guest sent it so, that ran twice, or that ran though an answer promised that it does not */
export function checkRuns ({ record }: PlanHistory): Breach[] {
  const runs = groupRuns(record)
  const sent = new Set(record.exchanges.map(({ attempt }) => attempt))
  const unasked = record.runs.filter(({ attempt, isAsSent }) => !sent.has(attempt) || isAsSent === false)
    .map(({ attempt, upstream, startedAt }) => ({ check: 'unasked', at: startedAt, detail: `${upstream} ran ${attempt}, which no guest has sent so` }))
  const once = record.exchanges.filter(({ isIdempotent, attempt }) => !isIdempotent && runs.has(attempt))
  const twice = once.filter(({ attempt }) => runs.get(attempt)!.length > 1)
    .map(({ attempt, entryHost, endedAt }) => ({ check: 'twice', at: endedAt, detail: `${attempt} at entry-${entryHost} ran at ${runs.get(attempt)!.map(({ upstream }) => upstream).join(', ')}` }))
  const promised = once.filter(({ end, status = 0 }) => end === AnswerEnd.Whole && PROMISES.includes(status))
    .map(({ attempt, entryHost, endedAt, status }) => ({ check: 'promise', at: endedAt, detail: `${attempt} at entry-${entryHost} was answered ${status} and ran at ${runs.get(attempt)!.map(({ upstream, script }) => `${upstream} (${script})`).join(', ')}` }))
  return [...unasked, ...twice, ...promised]
}
