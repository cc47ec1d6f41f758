import type { LogPosition } from '../LogPosition.js'
import type { ReplicaCall } from './ReplicaCall.js'

/** Sends one chunk of the leader's snapshot file. */
export interface SnapshotChunkRequest extends ReplicaCall {
  /** Position of the last entry that the snapshot includes. */
  position: LogPosition
  /** Offset of this chunk in the file, in bytes. */
  offset: number
  /** Length of the full file in bytes. */
  totalBytes: number
  /** Bytes of the chunk, base64. */
  data: string
}
