/** Answer to a vote request. */
export interface VoteReply {
  /** Term of the voter. */
  term: number
  granted: boolean
}
