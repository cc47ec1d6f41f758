import type { KnownState } from '../follow/KnownState.js'
import { DemandMeter } from '../limits/DemandMeter.js'
import { AdmissionQueue } from '../placement/AdmissionQueue.js'
import { shareOfSlots } from '../placement/shareOfSlots.js'
import type { UpstreamLoads } from './UpstreamLoads.js'

/** Time over which demand is counted: long enough for some requests at each host, short enough to follow a shift. */
const DEMAND_MILLISECONDS = 1_500
/** How often waiting requests are looked at when nothing ends: the share may have grown. */
const REVIEW_MILLISECONDS = 100

interface ServiceGate {
  demand: DemandMeter
  queue: AdmissionQueue
}

/** Bounds the requests that this host has under way at each service by its share of the slots. */
export class ServiceAdmission {
  readonly #known: KnownState
  readonly #loads: UpstreamLoads
  readonly #gates = new Map<string, ServiceGate>()

  /**
   * @param known - upstreams, and the demand of all hosts
   * @param loads - what this host saw of the upstreams
   */
  constructor (known: KnownState, loads: UpstreamLoads) {
    this.#known = known
    this.#loads = loads
    setInterval(() => { for (const { queue } of this.#gates.values()) queue.admitWaiting() }, REVIEW_MILLISECONDS).unref()
  }

  /** Notes a request for a service and gives the queue that it must pass. */
  arrive (service: string): AdmissionQueue {
    const gate = this.#gateOf(service)
    gate.demand.add(1)
    return gate.queue
  }

  /** @returns requests per second for each service at this host */
  listDemand (): Record<string, number> {
    return Object.fromEntries([...this.#gates].map(([service, { demand }]) => [service, Math.round(demand.readPerSecond() * 10) / 10]))
  }

  #gateOf (service: string): ServiceGate {
    const known = this.#gates.get(service)
    if (known !== undefined) return known
    const demand = new DemandMeter(DEMAND_MILLISECONDS)
    const gate = { demand, queue: new AdmissionQueue(() => this.#limit(service, demand)) }
    this.#gates.set(service, gate)
    return gate
  }

  #limit (service: string, demand: DemandMeter): number {
    const now = performance.now()
    const slots = this.#known.listReady(service)
      .filter(({ record, coldUntil }) => coldUntil <= now && !this.#known.isEvacuated(record.domain) && !this.#loads.isLost(record.id))
      .reduce((sum, { record }) => sum + record.slots, 0)
    return shareOfSlots({ slots, ownDemand: demand.readPerSecond(), totalDemand: this.#known.demandOf(service), entryHosts: this.#known.entryHostsHeard })
  }
}
