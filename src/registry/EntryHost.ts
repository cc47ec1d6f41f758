/** State of an entry host, as reported by itself. */
export interface EntryHost {
  name: string
  domain: string
  region: string
  /** Address that guests connect to, `ip:port`. */
  guestAddress: string
  /** Whether it accepts new connections. */
  isReady: boolean
  /** Requests per second that guests send to it, for each service. */
  demand: Record<string, number>
}

/** Requests per second of each region for each service. */
export type RegionDemand = Record<string, Record<string, number>>
