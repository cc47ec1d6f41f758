import { ExchangeFailure, type ExchangeError } from '../errors/ExchangeError.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { answerUnknown, refuse } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'

const REASON_BY_FAILURE: Record<ExchangeFailure, RefusalReason> = {
  [ExchangeFailure.Unreachable]: RefusalReason.UpstreamUnreachable,
  [ExchangeFailure.Broken]: RefusalReason.AnswerLost,
  [ExchangeFailure.Undelimited]: RefusalReason.AnswerLost,
  [ExchangeFailure.TimedOut]: RefusalReason.DeadlinePassed,
  [ExchangeFailure.Cancelled]: RefusalReason.Cancelled,
  [ExchangeFailure.Forbidden]: RefusalReason.LeaseLost,
  [ExchangeFailure.Stale]: RefusalReason.LeaseLost
}

/**
 * Creates the answer to a request whose exchange failed. A request of which no byte was written did not run;
 * otherwise it may have run.
 *
 * @param error - error of the exchange
 */
export function answerFailedExchange (error: ExchangeError): RelayAnswer {
  const reason = REASON_BY_FAILURE[error.failure]
  return error.written ? answerUnknown(reason) : refuse(reason)
}
