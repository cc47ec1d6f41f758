import { ListenerFault } from '../transport/ListenerFault.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { RepeatedAnswer } from '../relay/RepeatedAnswer.js'
import { RetryReason } from '../types/RetryReason.js'
import { QuotaCounter } from '../quota/QuotaCounter.js'
import { Outcome } from '../types/Outcome.js'
import type { Counters } from './Counters.js'

/** Name of the counter of lost answers whose requests were not retried because the retry budget was used up. */
export const RETRY_BUDGET_COUNTER = 'retry-budget.used-up'
/** Name of the counter of kept connections to upstreams that failed, or received bytes, while no request was on them. */
export const IDLE_CONNECTION_COUNTER = 'connections.idle-failed'

/** Name of the counter of answers that ended with their connection and whose upstream was alive afterwards. */
export const END_CONFIRMED_COUNTER = 'answer-end.confirmed'
/** Name of the counter of answers that ended with their connection and are lost, as nothing confirmed that they were whole. */
export const END_UNCONFIRMED_COUNTER = 'answer-end.unconfirmed'
/** Name of the counter of answers that could not reach their HTTP/1.0 guest, since nothing would have told where they end. */
export const UNFRAMABLE_COUNTER = 'answer-end.not-for-http-1.0'

/** Names of the counters of second attempts for slow responses. */
export const SECOND_ATTEMPT_COUNTERS = {
  begun: 'second-attempt.begun',
  /** The second attempt answered the request. */
  won: 'second-attempt.won',
  /** The first attempt answered the request, or neither did. */
  lost: 'second-attempt.lost',
  /** The first attempt was slow, but limits, slots, upstreams or a suspicion did not allow a second one. */
  denied: 'second-attempt.denied'
}

/**
 * Declares the counters of all refusal reasons, retry reasons and outcomes, so that they are readable from the start.
 *
 * @param counters - receives the declarations
 */
export function declareCounters (counters: Counters): void {
  for (const reason of Object.values(RefusalReason)) counters.declare(refusalCounter(reason))
  for (const reason of Object.values(RetryReason)) counters.declare(retryCounter(reason))
  for (const found of Object.values(RepeatedAnswer)) counters.declare(repeatedAnswerCounter(found))
  for (const fault of Object.values(ListenerFault)) counters.declare(listenerFaultCounter(fault))
  for (const counter of Object.values(QuotaCounter)) counters.declare(counter)
  counters.declare(RETRY_BUDGET_COUNTER)
  counters.declare(IDLE_CONNECTION_COUNTER)
  for (const counter of [END_CONFIRMED_COUNTER, END_UNCONFIRMED_COUNTER, UNFRAMABLE_COUNTER]) counters.declare(counter)
  for (const outcome of Object.values(Outcome)) counters.declare(outcomeCounter(outcome))
}

/** @returns the name of the counter of a refusal reason */
export function refusalCounter (reason: RefusalReason): string {
  return `refused.${reason}`
}

/** @returns the name of the counter of a retry reason */
export function retryCounter (reason: RetryReason): string {
  return `retried.${reason}`
}

/** @returns the name of the counter of answers behind which an upstream wrote a further one, by what became of them */
export function repeatedAnswerCounter (found: RepeatedAnswer): string {
  return `repeated-answer.${found}`
}

/** @returns the name of the counter of a fault at a listener */
export function listenerFaultCounter (fault: ListenerFault): string {
  return `listener.${fault}`
}

/** @returns the name of the counter of an outcome */
export function outcomeCounter (outcome: Outcome): string {
  return `outcome.${outcome}`
}
