/** Requests under way per slot: what is on the way to and from an upstream occupies none. */
const IN_FLIGHT_PER_SLOT = 1.2
/** Requests a second that each host counts as its demand beside what it sees, so that a quiet one keeps a share. */
const BASE_DEMAND_PER_SECOND = 0.5

/** What a host's share of the slots of a service depends on. */
export interface SlotShareInput {
  /** Slots of all upstreams that take requests. */
  slots: number
  /** Requests per second that this host gets for the service. */
  localDemand: number
  /** Requests per second that all hosts get for the service, as last told. */
  totalDemand: number
  entryHosts: number
}

/**
 * Tells how many requests of one service a host may have under way at once.
 *
 * Load pattern: more requests than cold upstreams can run. Queues at upstreams then grow until all that is run has
 * already been given up, nothing gets warm, and the load never fits again. The shares of all hosts add up to little more
 * than the slots, by demand, so that what is sent is run at once, whatever each host knows of the others' requests.
 *
 * @param question - slots and demand
 * @returns requests under way, one at least
 */
export function computeSlotShare ({ slots, localDemand, totalDemand, entryHosts }: SlotShareInput): number {
  const totalDemandWithBase = Math.max(totalDemand, localDemand) + BASE_DEMAND_PER_SECOND * entryHosts
  const meanInFlight = IN_FLIGHT_PER_SLOT * slots * (localDemand + BASE_DEMAND_PER_SECOND) / totalDemandWithBase
  return Math.max(1, Math.round(meanInFlight + Math.sqrt(meanInFlight) / 2))
}
