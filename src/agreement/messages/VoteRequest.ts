import type { LogPosition } from '../LogPosition.js'
import type { ReplicaCall } from './ReplicaCall.js'

/** Requests a vote in the call's term. */
export interface VoteRequest extends ReplicaCall {
  /** Whether this is a pre-vote, which asks if a vote would be granted and changes nothing at the receiver. */
  preVote: boolean
  /** Whether the leader transfers its leadership to the candidate: a voter then votes even if it has recent leader contact. */
  handover: boolean
  /** Position of the last entry of the candidate's log. */
  last: LogPosition
}
