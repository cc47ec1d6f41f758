/** Names of the files in a replica's data folder. */
export enum ReplicaFile {
  Identity = 'identity',
  Vote = 'vote',
  Snapshot = 'snapshot',
  Log = 'log'
}
