/** Stored term and vote of a replica. */
export interface VoteRecord {
  /** Highest term that the replica has seen. */
  term: number
  /** Identity of the candidate that it voted for in this term, if any. */
  votedFor?: string
}
