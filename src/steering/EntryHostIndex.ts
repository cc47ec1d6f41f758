import type { LookupHost } from '../guest/LookupAnswer.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import { PlaceState } from '../types/PlaceState.js'
import type { Sheet } from '../types/Sheet.js'
import { classifyAvailability, HostAvailability } from './HostAvailability.js'
import { hashKey, RendezvousItems, type RankedItem } from './RendezvousItems.js'
import { Tier, tierOf, type DomainLocation } from './Tier.js'

const MAXIMUM_HOSTS_PER_TIER = 4
const TIERS = [Tier.SameDomain, Tier.SameRegion, Tier.OtherRegion]
const OFFERED_AVAILABILITIES = [HostAvailability.Usable, HostAvailability.PlaceDraining, HostAvailability.Suspect, HostAvailability.Draining, HostAvailability.Dead]

/** Hosts of one failure domain with the same availability. */
interface HostGroup extends DomainLocation {
  hosts: RendezvousItems<HostIdentity>
}

/** Index of the hosts by availability and failure domain, for one view of the members and one sheet. */
export class EntryHostIndex {
  readonly #groups = new Map<HostAvailability, HostGroup[]>()
  readonly #drainingDomains: Set<string>
  /** For each failure domain that has hosts, whether one of them is usable. */
  readonly #usableDomains = new Map<string, boolean>()

  /**
   * @param members - every known host
   * @param sheet - the sheet in force
   */
  constructor (members: readonly Member[], sheet: Sheet) {
    this.#drainingDomains = listDrainingDomains(sheet)
    const hostsByAvailability = new Map<HostAvailability, Map<string, HostIdentity[]>>()
    for (const member of members) {
      const availability = classifyAvailability(member, this.#drainingDomains)
      if (availability !== HostAvailability.Left) this.#addHost(hostsByAvailability, member.host, availability)
    }
    for (const [availability, hostsByLocation] of hostsByAvailability) {
      this.#groups.set(availability, [...hostsByLocation.values()].map((hosts) => createHostGroup(hosts)))
    }
  }

  /**
   * Orders the hosts for a guest by availability and distance.
   *
   * @param home - location of the guest
   * @param key - key that spreads guests over the hosts
   * @returns at most four hosts of each tier, those of the nearest tier with weight 1
   */
  order (home: DomainLocation, key: string): LookupHost[] {
    const hasUsableHosts = this.#groups.has(HostAvailability.Usable)
    const keyHash = hashKey(key)
    const hostsPerTier = (hasUsableHosts ? [HostAvailability.Usable] : OFFERED_AVAILABILITIES).flatMap((availability) => {
      return selectPerTier(this.#groups.get(availability) ?? [], home, keyHash)
    })
    return hostsPerTier.filter((hosts) => hosts.length > 0).flatMap((hosts, index) => hosts.map(({ item }) => {
      return { name: item.name, address: item.guestAddress, weight: index === 0 ? 1 : 0 }
    }))
  }

  /**
   * @param domain - a failure domain
   * @returns whether the failure domain is open and has hosts, but none of them is usable
   */
  isDegraded (domain: string): boolean {
    return !this.#drainingDomains.has(domain) && this.#usableDomains.get(domain) === false
  }

  #addHost (hostsByAvailability: Map<HostAvailability, Map<string, HostIdentity[]>>, host: HostIdentity, availability: HostAvailability): void {
    const isUsable = availability === HostAvailability.Usable
    this.#usableDomains.set(host.domain, isUsable || this.#usableDomains.get(host.domain) === true)
    const hostsByLocation = hostsByAvailability.get(availability) ?? new Map<string, HostIdentity[]>()
    hostsByAvailability.set(availability, hostsByLocation)
    const location = `${host.domain} ${host.region}`
    const hosts = hostsByLocation.get(location)
    if (hosts === undefined) hostsByLocation.set(location, [host])
    else hosts.push(host)
  }
}

function createHostGroup (hosts: HostIdentity[]): HostGroup {
  const { domain, region } = hosts[0]!
  return { domain, region, hosts: new RendezvousItems(hosts, ({ name }) => name) }
}

function selectPerTier (groups: HostGroup[], home: DomainLocation, keyHash: number): Array<Array<RankedItem<HostIdentity>>> {
  const selected: Array<Array<RankedItem<HostIdentity>>> = TIERS.map(() => [])
  for (const group of groups) group.hosts.selectInto(keyHash, selected[tierOf(home, group)]!, MAXIMUM_HOSTS_PER_TIER)
  return selected
}

function listDrainingDomains (sheet: Sheet): Set<string> {
  const places = [...sheet.places.values()]
  const openDomains = new Set(places.filter(({ state }) => state === PlaceState.Open).map(({ failureDomain }) => failureDomain))
  return new Set(places.map(({ failureDomain }) => failureDomain).filter((domain) => !openDomains.has(domain)))
}
