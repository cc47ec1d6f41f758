import type { PoolCandidate } from './PoolCandidate.js'

/** Estimates on which the choice between pools is based. */
export interface PoolEstimates {
  /** @returns free slots of an owner's pool; a negative value is the number of waiting requests */
  freeSlots (owner: string): number
  /** @returns cost of the round trip to a pool and of waiting there, in milliseconds */
  delayMilliseconds (candidate: PoolCandidate): number
}
