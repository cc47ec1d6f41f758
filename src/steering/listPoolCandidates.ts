import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { PlaceState } from '../types/PlaceState.js'
import type { Sheet } from '../types/Sheet.js'
import type { PoolCandidate } from './PoolCandidate.js'

/**
 * Lists the pools of a service that may accept new requests: those of hosts that are alive, in open places of the sheet.
 *
 * @param members - every known host
 * @param sheet - the sheet in force
 * @param service - name of the service
 * @returns the pools, in the order of the members
 */
export function listPoolCandidates (members: Member[], sheet: Sheet, service: string): PoolCandidate[] {
  const placesByDomain = new Map<string, string>()
  for (const place of sheet.places.values()) {
    if (place.state === PlaceState.Open) placesByDomain.set(place.failureDomain, place.name)
  }
  return members.flatMap(({ host, state, details }) => {
    const place = placesByDomain.get(host.domain)
    if (place === undefined || state !== MemberState.Alive) return []
    if (!details.pools.some((pool) => pool.service === service && pool.upstreams > 0)) return []
    return [{ owner: host.name, place, domain: host.domain, region: host.region }]
  })
}
