import type { RegionDemand } from '../registry/EntryHost.js'

/** Time in which a peak decays to about a third: a network partition between control hosts takes some seconds to heal. */
const DECAY_TIME_CONSTANT_MILLISECONDS = 4_000

/**
 * Demand for each service at all entry hosts. During a network partition a control host receives reports of only a part
 * of the entry hosts; a sum that fell at once would let each host take more than its share, so peaks decay slowly.
 */
export class PeakDemand {
  readonly #peaksByService = new Map<string, { perSecond: number, at: number }>()

  /**
   * Raises the peaks to the present demand where it is higher.
   *
   * @param demand - requests per second of each region
   * @param now - time on the clock of `performance.now()`
   */
  update (demand: RegionDemand, now: number): void {
    const sums = new Map<string, number>()
    for (const services of Object.values(demand)) {
      for (const [service, perSecond] of Object.entries(services)) sums.set(service, (sums.get(service) ?? 0) + perSecond)
    }
    for (const [service, perSecond] of sums) {
      if (perSecond >= this.get(service, now)) this.#peaksByService.set(service, { perSecond, at: now })
    }
  }

  /** @returns the decayed peak of a service in requests per second, 0 when it is unknown */
  get (service: string, now: number): number {
    const peak = this.#peaksByService.get(service)
    return peak === undefined ? 0 : peak.perSecond * Math.exp((peak.at - now) / DECAY_TIME_CONSTANT_MILLISECONDS)
  }
}
