import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'

/** A query for the entry hosts that a guest should use. */
export interface EntryHostQuery {
  sheet: Sheet
  service: string
  /** Place of the guest, undefined when its address is in no block; the queried host's failure domain is used then. */
  guestPlace: string | undefined
  /** The queried host. */
  self: HostIdentity
  /** Every known host. */
  members: Member[]
  /** Key that spreads guests over the hosts: the same key gets the same order as long as the hosts stay the same. */
  key: string
  /** Lifetime of the answer unless the guest's failure domain is degraded. */
  lifetimeSeconds: number
}
