/** How far above the mean of all regions a region may be filled by its own guests before they are sent elsewhere. */
const HOME_OVERLOAD = 1.2

/** What the choice of regions depends on. */
export interface RegionQuestion {
  /** Region of the guests. */
  home: string
  /** Slots of the upstreams that take requests, in each region. */
  slots: ReadonlyMap<string, number>
  /** Requests per second of the guests of each region. */
  demand: ReadonlyMap<string, number>
}

/**
 * Tells which part of a region's requests each region should run.
 *
 * Load pattern: demand is spread evenly over regions and slots are not, while links between regions are slow and narrow.
 * So a region keeps what it can carry, and the rest goes where slots are left by the guests there.
 *
 * @param question - slots and demand
 * @returns a weight for each region with slots, adding up to 1
 */
export function weighRegions ({ home, slots, demand }: RegionQuestion): Map<string, number> {
  const totalSlots = sum(slots.values())
  const totalDemand = sum(demand.values())
  const evenPart = (region: string): number => totalDemand === 0 ? 1 / slots.size : (demand.get(region) ?? 0) / totalDemand
  const room = (region: string): number => HOME_OVERLOAD * (slots.get(region) ?? 0) / totalSlots
  const kept = slots.has(home) ? Math.min(1, room(home) / Math.max(evenPart(home), Number.EPSILON)) : 0
  const spare = new Map([...slots.keys()].filter((region) => region !== home).map((region) => [region, Math.max(0, room(region) - evenPart(region))]))
  const totalSpare = sum(spare.values())
  const weights = new Map<string, number>()
  for (const [region, amount] of slots) {
    if (region === home) weights.set(region, spare.size === 0 ? 1 : kept)
    else weights.set(region, (1 - kept) * (totalSpare > 0 ? spare.get(region)! / totalSpare : amount / (totalSlots - (slots.get(home) ?? 0))))
  }
  return weights
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
