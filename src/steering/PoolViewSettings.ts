import { Tier } from './Tier.js'

/** Settings of a {@link PoolView}. */
export interface PoolViewSettings {
  /** Age at which a report counts for a third of a new one. */
  agingMilliseconds: number
  /** Free slots assumed for an owner that never reported. */
  unreportedFreeSlots: number
  /** Weight of the wait relative to the round trip: a request that waits also delays those behind it. */
  waitWeight: number
  /** Run time on an upstream assumed before the first answer. */
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
