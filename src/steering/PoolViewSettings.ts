import { Tier } from './Tier.js'

/** Tunes a view of pools. */
export interface PoolViewSettings {
  /** Age at which a report counts for a third of a fresh one. */
  agingMilliseconds: number
  /** Free slots assumed for an owner that never reported. */
  unreportedFreeSlots: number
  /** How much waiting counts against the way: a request that waits also delays those behind it. */
  waitWeight: number
  /** Time in an upstream assumed before the first answer. */
  runMilliseconds: number
  /** Round trips assumed before the first answer of an owner. */
  roundTripMilliseconds: Record<Tier, number>
}

export const DEFAULT_POOL_VIEW_SETTINGS: PoolViewSettings = {
  agingMilliseconds: 50,
  unreportedFreeSlots: 1,
  waitWeight: 2,
  runMilliseconds: 20,
  roundTripMilliseconds: { [Tier.SameDomain]: 1, [Tier.SameRegion]: 3, [Tier.OtherRegion]: 50 }
}
