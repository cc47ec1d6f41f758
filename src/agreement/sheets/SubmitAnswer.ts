import type { ReplicaRefusalReason } from '../ReplicaRefusalReason.js'
import type { AcceptedSheet } from './AcceptedSheet.js'
import type { SubmitResult } from './SubmitResult.js'

/** Answer to a submission. */
export interface SubmitAnswer {
  result: SubmitResult
  /** The sheet accepted under this number: by this submission, by an earlier one, or the one in conflict. */
  accepted?: AcceptedSheet
  /** Number of the newest accepted sheet, with stale and forgotten numbers. */
  currentNumber?: number
  /** With {@link SubmitResult.NoQuorum}: whether the sheet may still have been accepted. Submitting it again gives the answer. */
  outcomeUnknown?: boolean
  /** With {@link SubmitResult.NoQuorum}: reason of the last attempt. */
  reason?: ReplicaRefusalReason
}
