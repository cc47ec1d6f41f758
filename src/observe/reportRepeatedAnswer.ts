import type { RepeatedAnswer } from '../relay/RepeatedAnswer.js'
import { Step } from '../types/Step.js'
import type { Counters } from './Counters.js'
import { repeatedAnswerCounter } from './declareCounters.js'
import type { Log } from './Log.js'

/**
 * Counts and logs an answer behind which an upstream wrote a further one on the same connection.
 *
 * @param outputs - counters and log
 * @param event - address of the upstream, identifier of the request, and what became of the answer
 */
export function reportRepeatedAnswer ({ counters, log }: { counters: Counters, log: Log }, event: { peer: string, request: string, found: RepeatedAnswer }): void {
  counters.increment(repeatedAnswerCounter(event.found))
  log.warn('repeated-answer', { step: Step.Answer, ...event })
}
