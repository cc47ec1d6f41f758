/** Distance of a place from a host or a guest, nearest first. */
export enum Tier {
  SameDomain = 0,
  SameRegion = 1,
  OtherRegion = 2
}

/** A failure domain with its region. */
export interface DomainLocation {
  domain: string
  region: string
}

/**
 * @param from - location of the guest or host
 * @param to - location of the place or other host
 * @returns the distance between them
 */
export function tierOf (from: DomainLocation, to: DomainLocation): Tier {
  if (from.domain === to.domain) return Tier.SameDomain
  return from.region === to.region ? Tier.SameRegion : Tier.OtherRegion
}
