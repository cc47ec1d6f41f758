import type { LogTail } from '../LogTail.js'
import type { Snapshot } from '../Snapshot.js'
import type { IdentityRecord } from './IdentityRecord.js'
import type { VoteRecord } from './VoteRecord.js'

/** Content of a replica's data folder. */
export interface StoredReplica {
  identity: IdentityRecord
  vote: VoteRecord
  /** Undefined while the replica has not joined a group. */
  snapshot?: Snapshot
  tail: LogTail
  /** Number of bytes of an interrupted write that are cut off from the log. */
  tornBytes: number
}
