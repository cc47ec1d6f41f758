/** Fraction of the requests of one guest place for one service that is planned for a place. */
export interface PlaceShare {
  place: string
  /** From 0 to 1; the fractions of one guest place add up to 1. A place with 0 is a last resort only. */
  fraction: number
}
