/** How far a place is from a host or a guest, the nearest first. */
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
 * @param from - where the guest or host is
 * @param to - where the place or other host is
 * @returns how far it is
 */
export function tierOf (from: DomainLocation, to: DomainLocation): Tier {
  if (from.domain === to.domain) return Tier.SameDomain
  return from.region === to.region ? Tier.SameRegion : Tier.OtherRegion
}
