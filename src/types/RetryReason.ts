/** Reason for retrying a request; each has a counter `retried.<reason>`. */
export enum RetryReason {
  /** An owner refused the request for lack of capacity and certainly did not run it. */
  Refused = 'refused',
  /** An owner could not be reached; nothing was written. */
  OwnerUnreachable = 'owner-unreachable',
  /** An upstream could not be reached; nothing was written. */
  UpstreamUnreachable = 'upstream-unreachable',
  /** An upstream shed the request without running it. */
  Shed = 'shed',
  /** The ledger could not decide a claim. */
  ClaimNotDecided = 'claim-not-decided',
  /** Another copy of a request that is suspected of crashing its upstream was running; nothing was written. */
  SuspectRunning = 'suspect-running',
  /** The answer to an idempotent request was lost. */
  AnswerLost = 'answer-lost'
}
