import { ClaimResult, type ClaimAnswer, type StoredAnswer } from '../ledger/ClaimLedger.js'
import { Outcome } from '../types/Outcome.js'
import { RefusalReason } from '../types/RefusalReason.js'
import { answerUnknown, refuse } from './refuse.js'
import type { RelayAnswer } from './RelayAnswer.js'

const REASON_BY_RESULT: Record<Exclude<ClaimResult, ClaimResult.Granted | ClaimResult.Answered>, RefusalReason> = {
  [ClaimResult.Running]: RefusalReason.ActionRunning,
  [ClaimResult.Unknown]: RefusalReason.ActionUnknown,
  [ClaimResult.Conflict]: RefusalReason.KeyConflict,
  [ClaimResult.Expired]: RefusalReason.TicketExpired,
  [ClaimResult.InvalidTicket]: RefusalReason.TicketInvalid,
  [ClaimResult.Sealed]: RefusalReason.TicketSealed,
  [ClaimResult.NoQuorum]: RefusalReason.LedgerUnavailable,
  [ClaimResult.Contended]: RefusalReason.LedgerContended
}

/**
 * Answers a one-time action whose claim was not granted.
 *
 * @param claim - the ledger's answer to the claim
 * @returns the answer, undefined when the claim was granted
 */
export function answerClaim (claim: ClaimAnswer): RelayAnswer | undefined {
  if (claim.result === ClaimResult.Granted) return undefined
  if (claim.result === ClaimResult.Answered) return restoreAnswer(claim.answer)
  const reason = REASON_BY_RESULT[claim.result]
  return claim.mayHaveRun ? answerUnknown(reason) : refuse(reason)
}

function restoreAnswer (stored: StoredAnswer | undefined): RelayAnswer {
  if (stored === undefined) return answerUnknown(RefusalReason.ActionUnknown)
  return {
    outcome: Outcome.Ran,
    reason: undefined,
    status: stored.status,
    headers: stored.headers.map(([name, value]) => ({ name, value })),
    body: Buffer.from(stored.body, 'base64'),
    pool: undefined
  }
}
