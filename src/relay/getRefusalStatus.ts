import { RefusalReason } from '../types/RefusalReason.js'

const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  [RefusalReason.UnknownPath]: 404,
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.UnknownPlace]: 404,
  [RefusalReason.BadMethod]: 405,
  [RefusalReason.BadDeadline]: 400,
  [RefusalReason.BadJson]: 400,
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.BodyTimedOut]: 408,
  [RefusalReason.HeadersTooLarge]: 431,
  [RefusalReason.Unauthorized]: 401,
  [RefusalReason.QuotaExceeded]: 429,
  [RefusalReason.TicketMissing]: 428,
  [RefusalReason.TicketInvalid]: 400,
  [RefusalReason.TicketExpired]: 410,
  [RefusalReason.TicketSealed]: 410,
  [RefusalReason.KeyConflict]: 422,
  [RefusalReason.ActionRunning]: 409,
  [RefusalReason.ActionUnknown]: 502,
  [RefusalReason.AnswerLost]: 502,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.Poison]: 422,
  [RefusalReason.Cancelled]: 499,
  [RefusalReason.StaleAnnouncement]: 409,
  [RefusalReason.InternalError]: 500
}

const STATUS_UNAVAILABLE = 503

/**
 * @param reason - why a request was refused
 * @returns the HTTP status of the refusal
 */
export function getRefusalStatus (reason: RefusalReason): number {
  return STATUS_BY_REASON[reason] ?? STATUS_UNAVAILABLE
}
