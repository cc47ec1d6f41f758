/** Outcome of a proposal. */
export enum ProposalOutcome {
  /** The value is committed and applied. */
  Committed = 'committed',
  /** The value is not in the log and will not be appended. */
  NotAccepted = 'not-accepted',
  /** The value may be committed, now or later. */
  Unknown = 'unknown'
}
