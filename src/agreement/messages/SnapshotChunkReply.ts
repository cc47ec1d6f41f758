/** Answer to {@link SnapshotChunkRequest}. */
export interface SnapshotChunkReply {
  /** Term of the follower. */
  term: number
  /** Offset in the file at which the next chunk must start, in bytes. */
  nextOffset: number
  /** Whether the complete snapshot is installed and durable at the follower. */
  installed: boolean
}
