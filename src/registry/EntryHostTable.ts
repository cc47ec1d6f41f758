import type { EntryHost, RegionDemand } from './EntryHost.js'

/** Age up to which a report counts as recent; entry hosts report about twice a second. */
const EXPIRY_MILLISECONDS = 2_500
/** If the guest's failure domain has fewer hosts than this, the hosts of its region are listed instead. */
const MINIMUM_LISTED_HOSTS = 2

interface ReportedHost {
  host: EntryHost
  reportedAt: number
}

/** Entry hosts that reported recently. */
export class EntryHostTable {
  readonly #hostsByName = new Map<string, ReportedHost>()

  /**
   * Records the report of an entry host, unless a newer one is known.
   *
   * @param host - state that the host reported
   * @param ageMilliseconds - time since the host sent the report
   */
  recordReport (host: EntryHost, ageMilliseconds = 0): void {
    const reportedAt = performance.now() - ageMilliseconds
    const known = this.#hostsByName.get(host.name)
    if (known !== undefined && known.reportedAt >= reportedAt) return
    this.#hostsByName.set(host.name, { host, reportedAt })
  }

  /** Number of entry hosts that reported recently. */
  get count (): number {
    return this.#listCurrent().length
  }

  /** @returns requests per second of each region for each service, over all hosts that reported recently */
  sumDemand (): RegionDemand {
    const sums: RegionDemand = {}
    for (const { region, demand } of this.#listCurrent()) {
      const services = sums[region] ??= {}
      for (const [service, perSecond] of Object.entries(demand)) services[service] = Math.round(((services[service] ?? 0) + perSecond) * 10) / 10
    }
    return sums
  }

  /** @returns hosts whose last report is at most that old, with the age of the report in milliseconds */
  listWithAge (maximumAgeMilliseconds: number): Array<{ host: EntryHost, ageMilliseconds: number }> {
    const now = performance.now()
    return [...this.#hostsByName.values()]
      .map(({ host, reportedAt }) => ({ host, ageMilliseconds: Math.round(now - reportedAt) }))
      .filter(({ ageMilliseconds }) => ageMilliseconds <= maximumAgeMilliseconds)
  }

  /**
   * @param domain - the guest's failure domain
   * @param region - the guest's region
   * @returns guest addresses of the ready entry hosts in the guest's failure domain if there are enough, else in its region, else of all
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
    return [...this.#hostsByName.values()].filter(({ reportedAt }) => now - reportedAt <= EXPIRY_MILLISECONDS).map(({ host }) => host)
  }
}
