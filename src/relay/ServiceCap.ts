/** The caps on the requests that a place accepts for each service. */
export interface ServiceCap {
  /** Takes one request from the cap; false when the cap is reached. */
  admit: (service: string) => boolean
  /** Requests per second that the cap currently admits, Infinity without a cap. */
  rate: (service: string) => number
  /** Counts a request that was refused before it asked for admission. */
  recordDemand: (service: string) => void
}
