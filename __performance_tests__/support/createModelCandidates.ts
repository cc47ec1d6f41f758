import type { PoolCandidate } from '../../src/steering/PoolCandidate.js'

/** @returns six pools, one in each failure domain, with two failure domains to a region */
export function createModelCandidates (): PoolCandidate[] {
  return Array.from({ length: 6 }, (_, index) => ({
    owner: `owner-${index}`,
    place: `place-${index}`,
    domain: `domain-${index}`,
    region: `region-${index >> 1}`
  }))
}

/** Failure domain of each of the 16 entry hosts. */
export const HOST_DOMAINS = [0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 5, 5]
/** Slots of the pool in each failure domain, by service. */
export const SLOTS = {
  inventario: [4, 4, 3, 3, 3, 3].map((servers) => servers * 7),
  reservas: [2, 2, 2, 2, 2, 2].map((servers) => servers * 3)
}
