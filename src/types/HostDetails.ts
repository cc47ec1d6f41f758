import type { PoolSummary } from './PoolSummary.js'

/** State of a host that it publishes to the other hosts in its membership messages. */
export interface HostDetails {
  /** Whether the host is stopping and accepts no new guests. */
  draining: boolean
  /** Number of the sheet in force on the host, 0 before the first. */
  sheetNumber: number
  /** Pools that the host owns. */
  pools: PoolSummary[]
}
