import { Outcome } from '../types/Outcome.js'
import type { RefusalReason } from '../types/RefusalReason.js'
import type { RelayAnswer } from './RelayAnswer.js'
import { getRefusalStatus } from './getRefusalStatus.js'

/**
 * Creates the answer to a request that certainly did not run.
 *
 * @param reason - reason for the refusal
 */
export function refuse (reason: RefusalReason): RelayAnswer {
  return createErrorAnswer(Outcome.NotRun, reason)
}

/**
 * Creates the answer to a request that may have run.
 *
 * @param reason - why its answer is missing
 */
export function answerUnknown (reason: RefusalReason): RelayAnswer {
  return createErrorAnswer(Outcome.Unknown, reason)
}

function createErrorAnswer (outcome: Outcome, reason: RefusalReason): RelayAnswer {
  const body = Buffer.from(JSON.stringify({ outcome, reason }) + '\n')
  return { outcome, reason, status: getRefusalStatus(reason), headers: [{ name: 'content-type', value: 'application/json' }], body, pool: undefined }
}
