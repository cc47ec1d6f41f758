import type { EntryKind } from './EntryKind.js'
import type { ReplicaConfiguration } from './ReplicaConfiguration.js'

/** One entry of the replicated log. */
export interface LogEntry {
  /** Position in the log, from 1. */
  index: number
  /** Term of the leader that appended it. */
  term: number
  kind: EntryKind
  /** The proposed value, with {@link EntryKind.Value}. */
  value?: unknown
  /** The new membership, with {@link EntryKind.Configuration}. */
  configuration?: ReplicaConfiguration
}
