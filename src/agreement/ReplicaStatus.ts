import type { LogPosition } from './LogPosition.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { ReplicaRole } from './ReplicaRole.js'

/** What a replica tells of itself. */
export interface ReplicaStatus {
  identity: string
  address: string
  /** Identity of the replica group; undefined while the replica is empty. */
  group?: string
  role: ReplicaRole
  term: number
  /** Identity of the leader of this term, if known. */
  leader?: string
  /** Whether this replica is the leader and hears a majority. */
  hasQuorum: boolean
  /** Whether this replica is such a leader, or heard one within the shortest election timeout. */
  hearsLeader: boolean
  /** Whether it hears a leader and has applied all that this leader called committed. */
  isCurrent: boolean
  /** Last entry of its log, committed or not. */
  last: LogPosition
  commitIndex: number
  appliedIndex: number
  configuration: ReplicaConfiguration
  /** Why the replica stopped, if it did. */
  failure?: string
}
