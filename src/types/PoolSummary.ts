/** State of one pool that its owner publishes to the other hosts; a pool has the upstreams of one service in one failure domain. */
export interface PoolSummary {
  service: string
  /** Number of upstreams whose leases the owner holds. */
  upstreams: number
  /** Total slots of these upstreams. */
  slots: number
  /** Slots without a running request at the time of the summary. */
  freeSlots: number
  /** Fraction of the place's cap that its ramp allows, from 0 to 1; absent without a cap. */
  openShare?: number
}
