import type { DomainLocation } from './Tier.js'

/** A pool that a request may be sent to. */
export interface PoolCandidate extends DomainLocation {
  /** Name of the host that owns the pool. */
  owner: string
  /** Place whose cap and state apply to the pool. */
  place: string
}
