import type { RegionDemand } from '../registry/EntryHost.js'

/** Time over which changes of demand take effect, so that objects do not move between regions with every short wave of requests. */
const SMOOTHING_TIME_CONSTANT_MILLISECONDS = 8_000

/** Fraction of each region in the demand for each service, smoothed over some seconds. */
export class SmoothedDemand {
  readonly #fractionsByService = new Map<string, Map<string, number>>()
  #updatedAt = 0

  /**
   * Updates the fractions with the present demand. They start equal, since the first reports come from few hosts.
   *
   * @param demand - requests per second of each region
   * @param now - time on the clock of `performance.now()`
   */
  update (demand: RegionDemand, now: number): void {
    const weight = 1 - Math.exp((this.#updatedAt - now) / SMOOTHING_TIME_CONSTANT_MILLISECONDS)
    this.#updatedAt = now
    const regions = Object.keys(demand)
    for (const service of new Set(regions.flatMap((region) => Object.keys(demand[region]!)))) this.#updateService(service, demand, regions, weight)
  }

  /** @returns the fraction of each region in the demand for a service; empty while the demand is unknown */
  getFractions (service: string): ReadonlyMap<string, number> {
    return this.#fractionsByService.get(service) ?? new Map()
  }

  #updateService (service: string, demand: RegionDemand, regions: string[], weight: number): void {
    const total = regions.reduce((sum, region) => sum + (demand[region]![service] ?? 0), 0)
    if (total === 0) return
    const fractions = this.#fractionsByService.get(service) ?? new Map<string, number>()
    const equalFraction = 1 / regions.length
    for (const region of regions) {
      const previous = fractions.get(region) ?? equalFraction
      fractions.set(region, previous + weight * ((demand[region]![service] ?? 0) / total - previous))
    }
    this.#fractionsByService.set(service, fractions)
  }
}
