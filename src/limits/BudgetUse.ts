/** Use of the cap of a service in a place by one host. */
export interface CapUse {
  service: string
  place: string
  /** The full cap, shared by the hosts of the failure domain. */
  requestsPerSecond: number
  /** Requests admitted by this host since it started. */
  admitted: number
}

/** Use of the link to another region by one host. */
export interface LinkUse {
  fromRegion: string
  toRegion: string
  /** The limit of the link minus the part reserved for control traffic; shared by the hosts of the region. */
  bytesPerSecond: number
  /** Bytes charged to the link by this host since it started. */
  sentBytes: number
}
