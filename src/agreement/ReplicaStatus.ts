import type { LogPosition } from './LogPosition.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'
import type { ReplicaRole } from './ReplicaRole.js'

/** Status of a replica, as the replica reports it. */
export interface ReplicaStatus {
  identity: string
  address: string
  /** Identity of the replica group; undefined while the replica is empty. */
  group?: string
  role: ReplicaRole
  term: number
  /** Identity of the leader of this term, if known. */
  leader?: string
  /** Whether this replica is the leader, has answers from a majority within its lease, and accepts proposals. */
  hasQuorum: boolean
  /** Whether this replica is such a leader, or received a message from a leader within the minimum election timeout. */
  hearsLeader: boolean
  /** Whether this replica has recent leader contact and has applied all entries that the leader reported as committed. */
  isCurrent: boolean
  /** Position of the last entry of its log, committed or not. */
  last: LogPosition
  commitIndex: number
  appliedIndex: number
  /** Latest membership in its log, committed or not. */
  configuration: ReplicaConfiguration
  /** Whether that membership is committed; replicas of earlier versions do not tell it. */
  isConfigurationCommitted?: boolean
  /** Message of the storage error that stopped the replica, if any. */
  failure?: string
  /** Whether its files are missing or corrupt, so that it cannot be opened again; replicas of earlier versions do not tell it. */
  isUnusable?: boolean
}
