/** Answer to {@link HandoverRequest}. */
export interface LeadershipTransferReply {
  /** Term of the follower. */
  term: number
  /** Whether it stands for election. */
  accepted: boolean
}
