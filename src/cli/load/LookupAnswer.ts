/** Answer to a lookup, as a guest reads it. */
export interface LookupAnswer {
  hosts: LookupHost[]
  /** Time for which the answer may be used. */
  lifetimeSeconds: number
  /** Prefix of the keys of one-time actions; undefined while no key can be claimed. */
  ticket?: string
}

/** Entry host in the answer to a lookup. */
export interface LookupHost {
  name: string
  /** Guest address, `ip:port`. */
  address: string
  /** Requests go to a host in proportion to its weight. */
  weight: number
  draining: boolean
}
