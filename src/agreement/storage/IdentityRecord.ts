/** Stored identity of a replica. */
export interface IdentityRecord {
  /** Random identity, created when the data folder was empty. */
  identity: string
  /** Whether the replica has ever joined a group. */
  joined: boolean
}
