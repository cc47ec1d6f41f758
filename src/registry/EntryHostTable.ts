import type { EntryHost, RegionDemand } from './EntryHost.js'

/** Silence after which an entry host is no longer named; entry hosts report about twice a second. */
const EXPIRY_MILLISECONDS = 2_500
/** Fewer hosts than this in the guest's failure domain are filled up with those of its region. */
const MINIMUM_LISTED_HOSTS = 2

interface ReportedHost {
  host: EntryHost
  heardAt: number
}

/** Entry hosts that were heard lately. */
export class EntryHostTable {
  readonly #hostsByName = new Map<string, ReportedHost>()

  /**
   * Takes in what an entry host says of itself.
   *
   * @param host - the host
   * @param ageMilliseconds - how long ago it said so
   */
  recordReport (host: EntryHost, ageMilliseconds = 0): void {
    const heardAt = performance.now() - ageMilliseconds
    const known = this.#hostsByName.get(host.name)
    if (known !== undefined && known.heardAt >= heardAt) return
    this.#hostsByName.set(host.name, { host, heardAt })
  }

  /** How many entry hosts were heard lately. */
  get count (): number {
    return this.#listCurrent().length
  }

  /** @returns requests per second of each region for each service, at all hosts heard lately */
  sumDemand (): RegionDemand {
    const sums: RegionDemand = {}
    for (const { region, demand } of this.#listCurrent()) {
      const services = sums[region] ??= {}
      for (const [service, perSecond] of Object.entries(demand)) services[service] = Math.round(((services[service] ?? 0) + perSecond) * 10) / 10
    }
    return sums
  }

  /** @returns hosts heard lately with the age of that, in milliseconds */
  listWithAge (maximumAgeMilliseconds: number): Array<{ host: EntryHost, ageMilliseconds: number }> {
    const now = performance.now()
    return [...this.#hostsByName.values()]
      .map(({ host, heardAt }) => ({ host, ageMilliseconds: Math.round(now - heardAt) }))
      .filter(({ ageMilliseconds }) => ageMilliseconds <= maximumAgeMilliseconds)
  }

  /**
   * @param domain - the guest's failure domain
   * @param region - the guest's region
   * @returns guest addresses of entry hosts, those of the guest's own domain if there are enough, else of its region, else all
   */
  choose (domain: string, region: string): string[] {
    const ready = this.#listCurrent().filter((host) => host.isReady)
    const inDomain = ready.filter((host) => host.domain === domain)
    const inRegion = ready.filter((host) => host.region === region)
    const chosen = inDomain.length >= MINIMUM_LISTED_HOSTS ? inDomain : inRegion.length > 0 ? inRegion : ready
    return chosen.map((host) => host.guestAddress)
  }

  #listCurrent (): EntryHost[] {
    const now = performance.now()
    return [...this.#hostsByName.values()].filter(({ heardAt }) => now - heardAt <= EXPIRY_MILLISECONDS).map(({ host }) => host)
  }
}
