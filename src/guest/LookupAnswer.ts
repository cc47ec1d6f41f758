import type { Sheet } from '../types/Sheet.js'

/** An entry host in the answer to a lookup. */
export interface LookupHost {
  name: string
  /** Guest address, `ip:port`. */
  address: string
  /** Weight of this host in the distribution of requests, relative to the other hosts. */
  weight: number
}

/** A guest's lookup after its parameters were checked. */
export interface LookupQuestion {
  sheet: Sheet
  service: string
  /** Place of the guest, undefined when its address is in no block. */
  place: string | undefined
  /** Address of the guest. */
  address: string
}

/** Answer to a lookup; the guest may use it during its lifetime. */
export interface LookupAnswer {
  service: string
  /** Place that was assumed for the guest. */
  place: string | undefined
  /** Entry hosts, best first. */
  hosts: LookupHost[]
  lifetimeSeconds: number
  /** Prefix for the keys of one-time actions, absent while none can be issued. */
  ticket: string | undefined
}
