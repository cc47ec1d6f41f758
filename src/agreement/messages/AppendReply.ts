/** Answer to {@link AppendRequest}. */
export interface AppendReply {
  /** Term of the follower. */
  term: number
  success: boolean
  /** With success: last index that is durable at the follower and matches in both logs. Otherwise: index to try next. */
  index: number
  /** With success: last index at which both logs match, durable or not; absent in replies of earlier versions. */
  held?: number
}
