/** Limits on the log, the snapshots and the calls of a replica. */
export interface ReplicaLimits {
  /** Size of the log file after which a snapshot is taken. */
  snapshotAfterBytes: number
  /** Number of applied entries, beyond the retained ones, after which a snapshot is taken. */
  snapshotAfterEntries: number
  /** Maximum number of entries that a snapshot covers but that stay in the log, for followers that lag a little. */
  keptEntries: number
  /** Maximum size of those entries. */
  keptBytes: number
  /** Maximum size of the entries in one call, unless a single entry is larger. */
  batchBytes: number
  /** Maximum size of a snapshot chunk in one call. */
  chunkBytes: number
  /** Maximum size of a snapshot that is accepted from the leader. */
  maximumSnapshotBytes: number
  /** Maximum number of proposals that wait for their commit at once. */
  openProposals: number
}

/** Default limits, for sheets of some megabytes. */
export const defaultReplicaLimits: ReplicaLimits = {
  snapshotAfterBytes: 8 * 1024 * 1024,
  snapshotAfterEntries: 1_000,
  keptEntries: 200,
  keptBytes: 2 * 1024 * 1024,
  batchBytes: 512 * 1024,
  chunkBytes: 512 * 1024,
  maximumSnapshotBytes: 256 * 1024 * 1024,
  openProposals: 256
}
