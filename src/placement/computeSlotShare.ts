/** Requests in flight per slot: requests in transit to and from an upstream occupy no slot. */
const IN_FLIGHT_PER_SLOT = 1.2
/** Requests per second added to the demand of each host, so that a host with little traffic keeps a share. */
const BASE_DEMAND_PER_SECOND = 0.5

/** Input to a host's share of the slots of a service. */
export interface SlotShareInput {
  /** Slots of all upstreams that take requests. */
  slots: number
  /** Requests per second that this host receives for the service. */
  localDemand: number
  /** Requests per second that all hosts receive for the service, as last reported. */
  totalDemand: number
  entryHosts: number
}

/**
 * Computes how many requests of one service a host may have in flight.
 *
 * Load pattern: more requests than cold upstreams can run. Queues at upstreams then grow until every request that is
 * run has already been abandoned, nothing gets warm, and the load never fits again. The shares are proportional to
 * demand and add up to little more than the slots, so that requests are run as soon as they arrive, whatever each host
 * knows of the requests of the others.
 *
 * @param input - slots and demand
 * @returns the number of requests, at least 1
 */
export function computeSlotShare ({ slots, localDemand, totalDemand, entryHosts }: SlotShareInput): number {
  const totalDemandWithBase = Math.max(totalDemand, localDemand) + BASE_DEMAND_PER_SECOND * entryHosts
  const meanInFlight = IN_FLIGHT_PER_SLOT * slots * (localDemand + BASE_DEMAND_PER_SECOND) / totalDemandWithBase
  return Math.max(1, Math.round(meanInFlight + Math.sqrt(meanInFlight) / 2))
}
