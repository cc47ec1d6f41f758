/** What an entry host says of itself. */
export interface EntryHost {
  name: string
  domain: string
  region: string
  /** Where guests connect, `ip:port`. */
  guestAddress: string
  /** Whether it takes new connections. */
  isReady: boolean
  /** Requests per second for each service that guests send to it. */
  demand: Record<string, number>
}

/** Requests per second of each region for each service. */
export type RegionDemand = Record<string, Record<string, number>>
