import { setTimeout as sleep } from 'node:timers/promises'
import { Outcome } from '../../src/types/Outcome.js'
import { RunEvent } from '../standins/RunEvent.js'
import { findMinimumAliveHosts, sumCounter, readExitCode, countGrants, countInFlightRequests, findLowestSheet, countSheetDigests, readSubmissionStatus, countSubmissionsWithStatus } from './hostMeasures.js'
import { countRequestsWithOutcome, countRequestsWithReason, countRequestsWithBrokenAttempt, countRequestsBrokenByHost, countFailedRequests, measureLongestGap, measureLatencyP99 } from './loadMeasures.js'
import { measureLinkBytesPerSecond } from './linkMeasures.js'
import type { Measurement } from './Measurement.js'
import { parseMilliseconds } from './parseScenario.js'
import { countEvents, measureNewWorkAfterLeave, countFalseNotRunAnswers, measureRampExcess, countRunsInDomain, countMaximumRunsPerKey, countMaximumStartsPerSecond, countWrongAnswers, type Measure } from './runMeasures.js'
import type { StepRunner } from './StepRunner.js'

const POLL_MILLISECONDS = 50

const MEASURES = new Map<string, Measure>([
  ['runs-per-key', countMaximumRunsPerKey],
  ['not-run-false', countFalseNotRunAnswers],
  ['wrong-answers', countWrongAnswers],
  ['slots-exceeded', countEvents(RunEvent.SlotsExceeded)],
  ['connections-exceeded', countEvents(RunEvent.ConnectionsExceeded)],
  ['crashes', countEvents(RunEvent.Crash)],
  ['drained', countEvents(RunEvent.Drained)],
  ['cancelled', countEvents(RunEvent.Cancelled)],
  ['shed', countEvents(RunEvent.Shed)],
  ['starts', countEvents(RunEvent.Start)],
  ['new-work-after-leave', measureNewWorkAfterLeave],
  ['starts-per-second', countMaximumStartsPerSecond],
  ['ramp-excess', measureRampExcess],
  ['link-bytes-per-second', measureLinkBytesPerSecond],
  ['runs-in', countRunsInDomain],
  ['ran', countRequestsWithOutcome(Outcome.Ran)],
  ['refused', countRequestsWithOutcome(Outcome.NotRun)],
  ['unknown', countRequestsWithOutcome(Outcome.Unknown)],
  ['unanswered', countRequestsWithOutcome(undefined)],
  ['failed', countFailedRequests],
  ['reason', countRequestsWithReason],
  ['cut-off', countRequestsWithBrokenAttempt],
  ['cut-off-by', countRequestsBrokenByHost],
  ['p99', measureLatencyP99],
  ['gap', measureLongestGap],
  ['sheet', findLowestSheet],
  ['sheet-digests', countSheetDigests],
  ['granted', countGrants],
  ['alive', findMinimumAliveHosts],
  ['in-flight', countInFlightRequests],
  ['exit', readExitCode],
  ['submit', readSubmissionStatus],
  ['submits-with', countSubmissionsWithStatus],
  ['counter', sumCounter]
])

const COMPARISONS = new Map<string, (measured: number, bound: number) => boolean>([
  ['<=', (measured, bound) => measured <= bound],
  ['>=', (measured, bound) => measured >= bound],
  ['<', (measured, bound) => measured < bound],
  ['>', (measured, bound) => measured > bound],
  ['=', (measured, bound) => measured === bound]
])

/** `expect NAME [WORD …] COMPARISON VALUE [within TIME]`: polls a measure until the comparison holds or the time has passed. */
export const expect: StepRunner = async (world, step) => {
  const comparisonIndex = step.words.findIndex((word) => COMPARISONS.has(word))
  const compare = COMPARISONS.get(step.words[comparisonIndex] ?? '')
  const measure = MEASURES.get(step.words[0] ?? '')
  const bound = step.words[comparisonIndex + 1]
  if (measure === undefined || compare === undefined || bound === undefined) throw new Error(`line ${step.line}: cannot parse ${step.text}`)
  const timeoutMilliseconds = step.words[comparisonIndex + 2] === 'within' ? parseMilliseconds(step.words[comparisonIndex + 3] ?? '') : 0
  const deadline = performance.now() + timeoutMilliseconds
  const startedAt = performance.now()
  for (;;) {
    const measured = await measure(world, step.words.slice(1, comparisonIndex))
    if (isSatisfied(measured, compare, bound)) {
      world.notes.push(`${step.text}: ${measured.value} after ${Math.round(performance.now() - startedAt)} ms`)
      return
    }
    if (performance.now() >= deadline) throw new Error(`line ${step.line}: ${step.text}: saw ${measured.value} (${measured.detail ?? ''})`)
    await sleep(POLL_MILLISECONDS)
  }
}

function isSatisfied (measured: Measurement, compare: (measured: number, bound: number) => boolean, bound: string): boolean {
  return typeof measured.value === 'string' ? measured.value === bound : compare(measured.value, Number(bound))
}
