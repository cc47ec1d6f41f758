/** Answer to {@link AppendRequest}. */
export interface AppendReply {
  /** Term of the follower. */
  term: number
  success: boolean
  /** With success: last position known to be durable at the follower and the same in both logs. Else: where to try next. */
  index: number
  /** With success: last position at which both logs agree, durable or not; absent from earlier versions. */
  held?: number
}
