import type { KnownState } from '../follow/KnownState.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { abbreviateFingerprint } from '../utils/abbreviateFingerprint.js'
import { Outcome } from '../types/Outcome.js'
import { Step } from '../types/Step.js'
import type { EntryRequest } from './EntryRequest.js'
import type { RequestProgress } from './RequestProgress.js'

/** Outputs and state for the record of an answer. */
export interface AnswerTelemetry {
  known: KnownState
  counters: Counters
  latencies: LatencyBuckets
  loopLateMilliseconds: () => number
  log: Log
}

/**
 * Writes the log line of a request, counts its refusal and records its latency.
 *
 * @param telemetry - counters, latencies, log and the known plan
 * @param request - the guest's request
 * @param progress - its attempts
 * @param answer - the answer that the guest receives
 */
export function recordAnswer ({ known, counters, latencies, loopLateMilliseconds, log }: AnswerTelemetry, request: EntryRequest, progress: RequestProgress, answer: RelayAnswer): void {
  if (answer.reason !== undefined) counters.increment(refusalCounter(answer.reason))
  const tookMilliseconds = performance.now() - request.arrivedAt
  latencies.record(answer.outcome, tookMilliseconds / 1_000)
  const fields = {
    step: Step.Answer,
    request: request.id,
    route: request.route.name,
    account: request.access?.account?.name,
    service: progress.service,
    plan: known.plan?.version,
    tried: progress.attemptedUpstreams.join(','),
    object: request.objectKey,
    read: Math.round(request.readMilliseconds),
    quota: progress.quotaMilliseconds,
    waited: progress.waitedMilliseconds,
    candidates: progress.candidateCount,
    rank: progress.rank,
    fill: progress.utilizationPercent,
    sends: progress.sendCount,
    second: progress.second?.upstream,
    secondAfter: progress.second?.afterMilliseconds,
    winner: progress.second?.winner,
    secondDenied: progress.secondDenial,
    outcome: answer.outcome,
    reason: answer.reason,
    cause: progress.cause,
    status: answer.status,
    took: Math.round(tookMilliseconds),
    timeout: request.route.timeoutMilliseconds,
    loop: loopLateMilliseconds()
  }
  if (answer.outcome === Outcome.Ran) log.info('request-answered', fields)
  else log.warn('request-failed', { ...fields, content: abbreviateFingerprint(progress.fingerprint) })
}
