import type { LogPosition } from './LogPosition.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'

/** The state of a replica group after the entries up to one position of the log. */
export interface Snapshot {
  /** Identity of the replica group. */
  group: string
  /** Position of the last entry that the state includes. */
  position: LogPosition
  /** Membership at that position. */
  configuration: ReplicaConfiguration
  /** State of the state machine, a JSON value; undefined before its first entry. */
  state?: unknown
}
