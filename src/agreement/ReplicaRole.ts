/** Current role of a replica. */
export enum ReplicaRole {
  /** Has not joined a group: neither votes nor counts towards a majority. */
  Empty = 'empty',
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
  /** Not opened yet, or ended by {@link ReplicatedLog.stop} or a storage failure. */
  Stopped = 'stopped'
}
