/** Kinds of limits whose use a load run reports. */
export enum LimitKind {
  Slots = 'slots',
  PlaceCap = 'place cap',
  LinkCap = 'link cap'
}

/** Utilization of one limit during a load run. */
export interface LimitUse {
  kind: LimitKind
  /** Service and failure domain of slots, service and place of a cap, the two regions of a link. */
  name: string
  /** Latest value of the limit in slots, requests per second, or bytes per second. */
  limit: number
  /** Median over the samples of the fraction in use, 1 for all of it. */
  p50: number
  /** Maximum of the same fraction. */
  max: number
}

/** Utilization of all limits during a load run, as the hosts reported it. */
export interface HeadroomSummary {
  /** Number of samples. */
  samples: number
  /** Statuses that hosts did not return, over all samples. */
  missing: number
  uses: LimitUse[]
}
