import type { LogEntry } from '../LogEntry.js'
import type { LogPosition } from '../LogPosition.js'
import type { ReplicaCall } from './ReplicaCall.js'

/** AppendEntries call of the leader of the call's term, with entries or as a heartbeat. */
export interface AppendRequest extends ReplicaCall {
  /** Whether this is a heartbeat, which is answered without waiting for the disk. */
  heartbeat: boolean
  /** Position before the first entry sent. */
  previous: LogPosition
  entries: LogEntry[]
  /** Index of the last entry that the leader knows to be committed. */
  commitIndex: number
}
