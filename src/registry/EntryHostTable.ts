import type { EntryHost, RegionDemand } from './EntryHost.js'

/** Silence after which an entry host is no longer named; entry hosts report about twice a second. */
const NAMED_MILLISECONDS = 2_500
/** Fewer hosts than this in the guest's failure domain are filled up with those of its region. */
const LEAST_NAMED = 2

interface KnownHost {
  host: EntryHost
  heardAt: number
}

/** Entry hosts that were heard lately. */
export class EntryHostTable {
  readonly #hosts = new Map<string, KnownHost>()

  /**
   * Takes in what an entry host says of itself.
   *
   * @param host - the host
   * @param ageMilliseconds - how long ago it said so
   */
  hear (host: EntryHost, ageMilliseconds = 0): void {
    const heardAt = performance.now() - ageMilliseconds
    const known = this.#hosts.get(host.name)
    if (known !== undefined && known.heardAt >= heardAt) return
    this.#hosts.set(host.name, { host, heardAt })
  }

  /** How many entry hosts were heard lately. */
  get count (): number {
    return this.#listHeard().length
  }

  /** @returns requests per second of each region for each service, at all hosts heard lately */
  sumDemand (): RegionDemand {
    const sums: RegionDemand = {}
    for (const { region, demand } of this.#listHeard()) {
      const services = sums[region] ??= {}
      for (const [service, perSecond] of Object.entries(demand)) services[service] = Math.round(((services[service] ?? 0) + perSecond) * 10) / 10
    }
    return sums
  }

  /** @returns hosts heard lately with the age of that, in milliseconds */
  listWithAge (mostMilliseconds: number): Array<{ host: EntryHost, ageMilliseconds: number }> {
    const now = performance.now()
    return [...this.#hosts.values()]
      .map(({ host, heardAt }) => ({ host, ageMilliseconds: Math.round(now - heardAt) }))
      .filter(({ ageMilliseconds }) => ageMilliseconds <= mostMilliseconds)
  }

  /**
   * @param domain - the guest's failure domain
   * @param region - the guest's region
   * @returns guest addresses of entry hosts, those of the guest's own domain if there are enough, else of its region, else all
   */
  choose (domain: string, region: string): string[] {
    const ready = this.#listHeard().filter((host) => host.isReady)
    const inDomain = ready.filter((host) => host.domain === domain)
    const inRegion = ready.filter((host) => host.region === region)
    const chosen = inDomain.length >= LEAST_NAMED ? inDomain : inRegion.length > 0 ? inRegion : ready
    return chosen.map((host) => host.guestAddress)
  }

  #listHeard (): EntryHost[] {
    const now = performance.now()
    return [...this.#hosts.values()].filter(({ heardAt }) => now - heardAt <= NAMED_MILLISECONDS).map(({ host }) => host)
  }
}
