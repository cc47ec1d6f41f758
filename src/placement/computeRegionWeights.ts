/** Load from its own guests, relative to the mean of all regions, above which a region sends guests elsewhere. */
const MAXIMUM_HOME_LOAD_RATIO = 1.2

/** Input to the weights of regions. */
export interface RegionWeightsInput {
  /** Region of the guests. */
  home: string
  /** Slots of the upstreams that take requests, by region. */
  slots: ReadonlyMap<string, number>
  /** Requests per second of the guests, by their region. */
  demand: ReadonlyMap<string, number>
}

/**
 * Computes the fraction of a region's requests that each region should run.
 *
 * Load pattern: demand is spread evenly over regions and slots are not, while links between regions are slow and
 * narrow. So a region keeps as many requests as it can serve, and the rest goes to regions whose own guests leave slots
 * free.
 *
 * @param input - slots and demand
 * @returns a weight for each region with slots, adding up to 1
 */
export function computeRegionWeights ({ home, slots, demand }: RegionWeightsInput): Map<string, number> {
  const totalSlots = sum(slots.values())
  const totalDemand = sum(demand.values())
  const getDemandFraction = (region: string): number => totalDemand === 0 ? 1 / slots.size : (demand.get(region) ?? 0) / totalDemand
  const getCapacityFraction = (region: string): number => MAXIMUM_HOME_LOAD_RATIO * (slots.get(region) ?? 0) / totalSlots
  const homeWeight = slots.has(home) ? Math.min(1, getCapacityFraction(home) / Math.max(getDemandFraction(home), Number.EPSILON)) : 0
  const spareCapacityByRegion = new Map([...slots.keys()].filter((region) => region !== home).map((region) => [region, Math.max(0, getCapacityFraction(region) - getDemandFraction(region))]))
  const totalSpareCapacity = sum(spareCapacityByRegion.values())
  const weights = new Map<string, number>()
  for (const [region, regionSlots] of slots) {
    if (region === home) weights.set(region, spareCapacityByRegion.size === 0 ? 1 : homeWeight)
    else weights.set(region, (1 - homeWeight) * (totalSpareCapacity > 0 ? spareCapacityByRegion.get(region)! / totalSpareCapacity : regionSlots / (totalSlots - (slots.get(home) ?? 0))))
  }
  return weights
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
