/** Common fields of all calls between members of a replica group. */
export interface ReplicaCall {
  /** Identity of the calling replica. */
  sender: string
  /** Identity of the called replica: a new replica at the same address must refuse the call. */
  receiver: string
  /** Identity of the replica group. */
  group: string
  /** Term of the caller. */
  term: number
}
