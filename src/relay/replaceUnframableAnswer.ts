import type { IncomingMessage } from 'node:http'
import type { Counters } from '../observe/Counters.js'
import { UNFRAMABLE_COUNTER } from '../observe/declareCounters.js'
import type { Log } from '../observe/Log.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { Step } from '../types/Step.js'
import { findStatedLength } from './findStatedLength.js'
import { answerUnknown } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'

/** Outputs for the record of a replaced answer. */
export interface FramingTelemetry {
  counters: Counters
  log: Log
}

/**
 * Replaces an answer whose end the guest could not recognize. HTTP/1.0 has no chunks, so that a body which is passed on while it arrives
 * needs a length: the end of the connection would make a truncated one look whole.
 *
 * @param answer - the answer for the guest
 * @param message - the guest's request
 * @param id - identifier of the request
 * @param telemetry - receives the count and the log line of a replaced answer
 * @returns the same answer, or one of the host that tells that the request may have run
 */
export function replaceUnframableAnswer (answer: RelayAnswer, { httpVersion }: IncomingMessage, id: string, { counters, log }: FramingTelemetry): RelayAnswer {
  const { headers, body } = answer
  if (httpVersion !== '1.0' || Buffer.isBuffer(body) || findStatedLength(headers) !== undefined) return answer
  body.destroy()
  counters.increment(UNFRAMABLE_COUNTER)
  log.warn('answer-unframable', { step: Step.Answer, request: id, version: httpVersion, reason: RefusalReason.AnswerLost })
  return answerUnknown(RefusalReason.AnswerLost)
}
