import type { LogPosition } from '../LogPosition.js'
import type { ReplicaCall } from './ReplicaCall.js'

/** Asks a follower to start an election at once: the leader of the call's term stops and accepts no more proposals. */
export interface LeadershipTransferRequest extends ReplicaCall {
  /** Position of the last entry of the leader's log, which the follower must hold. */
  last: LogPosition
}
