import type { ProposalOutcome } from './ProposalOutcome.js'
import type { ReplicaRefusalReason } from './ReplicaRefusalReason.js'

/** Answer to a proposal. */
export interface ProposalAnswer<Result> {
  outcome: ProposalOutcome
  /** Result of applying the value, with {@link ProposalOutcome.Committed}. */
  result?: Result
  /** Index in the log, with {@link ProposalOutcome.Committed}. */
  index?: number
  /** Reason for which the value is not known to be committed, with the other outcomes. */
  reason?: ReplicaRefusalReason
}
