/** Answer to {@link LeadershipTransferRequest}. */
export interface LeadershipTransferReply {
  /** Term of the follower. */
  term: number
  /** Whether the follower starts an election. */
  accepted: boolean
}
