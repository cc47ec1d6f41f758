/** The inputs to the choice of an owner for one pool at this time. */
export interface ExplainedPool {
  owner: string
  place: string
  /** Planned fraction of the requests, from 0 to 1. */
  fraction: number
  /** Estimate of the free slots; a negative value is the number of waiting requests. */
  freeSlots: number
  /** Round trip to the pool plus expected wait there. */
  delayMilliseconds: number
}

/** Explains the choice of owners for the requests of one guest place for one service. */
export interface ChoiceExplanation {
  service: string
  guestPlace: string | undefined
  pools: ExplainedPool[]
}
