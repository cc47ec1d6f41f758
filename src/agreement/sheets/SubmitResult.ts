/** Result of a submission. */
export enum SubmitResult {
  /** This submission was accepted. */
  Accepted = 'accepted',
  /** The same number with the same digest was accepted before; the answer holds the sheet accepted then. */
  AcceptedBefore = 'accepted-before',
  /** The number was accepted with another digest. */
  Conflict = 'conflict',
  /** The number is lower than that of an accepted sheet, and was never accepted. */
  Stale = 'stale',
  /** The number is older than the archived sheets; it is not accepted now, and may or may not have been before. */
  Forgotten = 'forgotten',
  /** No majority confirmed the submission in time. */
  NoQuorum = 'no-quorum'
}
