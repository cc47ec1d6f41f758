/** Role of a member in its group. */
export enum MemberRole {
  /** Votes, and counts towards a majority. */
  Voter = 'voter',
  /** Receives the log, but neither votes nor counts towards a majority. */
  Learner = 'learner'
}
