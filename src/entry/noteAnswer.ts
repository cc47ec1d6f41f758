import type { KnownState } from '../follow/KnownState.js'
import type { Counters } from '../observe/Counters.js'
import { refusalCounter } from '../observe/declareCounters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import type { RelayAnswer } from '../relay/RelayAnswer.js'
import { Outcome } from '../types/Outcome.js'
import { Step } from '../types/Step.js'
import type { EntryRequest } from './EntryRequest.js'
import type { RequestTrack } from './RequestTrack.js'

/** Where answers are noted. */
export interface AnswerNotes {
  known: KnownState
  counters: Counters
  latencies: LatencyBuckets
  loopLateMilliseconds: () => number
  log: Log
}

/**
 * Writes the log line of a request and counts its refusal.
 *
 * @param notes - where to
 * @param request - the request
 * @param track - what became of it
 * @param answer - what the guest gets
 */
export function noteAnswer ({ known, counters, latencies, loopLateMilliseconds, log }: AnswerNotes, request: EntryRequest, track: RequestTrack, answer: RelayAnswer): void {
  if (answer.reason !== undefined) counters.increment(refusalCounter(answer.reason))
  const took = performance.now() - request.arrivedAt
  latencies.record(answer.outcome, took / 1_000)
  const fields = {
    step: Step.Answer,
    request: request.id,
    route: request.route.name,
    service: track.service,
    plan: known.plan?.version,
    tried: track.attempts.join(','),
    object: request.objectKey,
    read: Math.round(request.readMilliseconds),
    waited: track.waited,
    candidates: track.candidates,
    rank: track.rank,
    fill: track.fill,
    sends: track.sends,
    outcome: answer.outcome,
    reason: answer.reason,
    cause: track.cause,
    status: answer.status,
    took: Math.round(took),
    timeout: request.route.timeoutMilliseconds,
    loop: loopLateMilliseconds()
  }
  if (answer.outcome === Outcome.Ran) log.info('request-answered', fields)
  else log.warn('request-failed', fields)
}
