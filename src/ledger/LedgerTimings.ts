/** Intervals and timeouts of the ledger, in milliseconds. */
export interface LedgerTimings {
  /** Interval between rounds of a member while work is left, and between ticket checks while there is no quorum. */
  roundMilliseconds: number
  /** Interval between rounds of a member while no work is left. */
  settledRoundMilliseconds: number
  /** Interval between ticket checks while there is a quorum. */
  ticketRoundMilliseconds: number
  /** Timeout of each call for the status of a host. */
  statusMilliseconds: number
  /** Timeout of each other call to a member. */
  callMilliseconds: number
  /** How long a quorum must be missing before a new epoch is opened. */
  openAfterMilliseconds: number
  /** The same if less than a majority of the configured hosts can be reached. */
  openAloneAfterMilliseconds: number
  /** How long the reachable hosts must differ from the epoch's members before a new epoch is opened. */
  reconfigureAfterMilliseconds: number
  /** How long members of an epoch must be missing before it is sealed. */
  sealAfterMilliseconds: number
  /** How long a ticket prefix may be used. */
  ticketMilliseconds: number
  /** Maximum age of the last ticket check for prefixes to be issued. */
  ticketCheckMilliseconds: number
  /** Maximum time from the start of a granted claim to the first byte sent to an upstream. */
  dispatchMilliseconds: number
  /** Time from a claim until a repeated request gets the answer that the outcome is unknown. */
  runMilliseconds: number
  /** Maximum wait for a quorum to store an outcome; the rest is sent in the background. */
  completeMilliseconds: number
  /** How long an outcome is sent again to members that did not store it. */
  updateRetryMilliseconds: number
  /** Maximum delay before the second attempt of a contended claim; it doubles with each further attempt. */
  backoffMilliseconds: number
  /** Maximum number of attempts of a contended claim. */
  claimAttempts: number
}

export const DEFAULT_LEDGER_TIMINGS: LedgerTimings = {
  roundMilliseconds: 250,
  settledRoundMilliseconds: 500,
  ticketRoundMilliseconds: 1_000,
  statusMilliseconds: 250,
  callMilliseconds: 400,
  openAfterMilliseconds: 500,
  openAloneAfterMilliseconds: 1_000,
  reconfigureAfterMilliseconds: 5_000,
  sealAfterMilliseconds: 10_000,
  ticketMilliseconds: 180_000,
  ticketCheckMilliseconds: 2_500,
  dispatchMilliseconds: 5_000,
  runMilliseconds: 60_000,
  completeMilliseconds: 200,
  updateRetryMilliseconds: 10_000,
  backoffMilliseconds: 20,
  claimAttempts: 5
}
