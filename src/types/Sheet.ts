import type { PlaceState } from './PlaceState.js'
import type { RequestClass } from './RequestClass.js'

/** A service that the sheet names. */
export interface ServiceEntry {
  name: string
  /** Class of requests whose HTTP method does not make them idempotent. */
  requestClass: RequestClass
}

/** A place that serves requests: a site inside a failure domain. */
export interface PlaceEntry {
  name: string
  failureDomain: string
  region: string
  state: PlaceState
}

/** Share of a guest place's requests for a service that goes to a serving place. */
export interface PlacementEntry {
  service: string
  /** Place of the guests; `*` for all guest places without their own entry. */
  guestPlace: string
  /** Place that serves the requests. */
  place: string
  /** Weight among the placements of the same service and guest place; with 0 the place is a last resort. */
  share: number
}

/** Maximum number of requests per second of a service in a place. */
export interface CapEntry {
  service: string
  place: string
  requestsPerSecond: number
}

/** Maximum traffic between two regions, in each direction. */
export interface LinkEntry {
  fromRegion: string
  toRegion: string
  megabitsPerSecond: number
}

/** Maps guest addresses to guest places. */
export interface GuestBlockTable {
  readonly size: number
  /**
   * @param address - IPv4 or IPv6 address as text
   * @returns name of the guest place of the longest matching block, undefined when none matches
   */
  findPlace (address: string): string | undefined
}

/** Complete content of an accepted, checked sheet. */
export interface Sheet {
  /** Number given by the planners; later sheets have higher numbers. */
  number: number
  /** SHA-256 of the content, in hexadecimal. */
  digest: string
  services: Map<string, ServiceEntry>
  places: Map<string, PlaceEntry>
  placements: PlacementEntry[]
  caps: CapEntry[]
  links: LinkEntry[]
  guestBlocks: GuestBlockTable
}
