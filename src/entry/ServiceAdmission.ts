import type { KnownState } from '../follow/KnownState.js'
import { DemandMeter } from '../limits/DemandMeter.js'
import { AdmissionQueue } from '../placement/AdmissionQueue.js'
import { computeSlotShare } from '../placement/computeSlotShare.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import type { UpstreamLoads } from './UpstreamLoads.js'

/** Time over which demand is measured: long enough for some requests at each host, short enough to follow a shift. */
const DEMAND_WINDOW_MILLISECONDS = 1_500
/** How often waiting requests are checked while no request ends: the share may have grown. */
const REVIEW_INTERVAL_MILLISECONDS = 100

interface ServiceState {
  demand: DemandMeter
  queue: AdmissionQueue
}

/** Limits the requests that this host has in flight for each service to its share of the slots. */
export class ServiceAdmission {
  readonly #known: KnownState
  readonly #loads: UpstreamLoads
  readonly #statesByService = new Map<string, ServiceState>()

  /**
   * @param known - upstreams and the demand of all hosts
   * @param loads - loads of the upstreams as this host sees them
   */
  constructor (known: KnownState, loads: UpstreamLoads) {
    this.#known = known
    this.#loads = loads
    setInterval(() => { for (const { queue } of this.#statesByService.values()) queue.admitWaiting() }, REVIEW_INTERVAL_MILLISECONDS).unref()
  }

  /**
   * Records a request for a service.
   *
   * @returns the queue in which the request waits for admission
   */
  recordArrival (service: string): AdmissionQueue {
    const state = this.#getState(service)
    state.demand.add(1)
    return state.queue
  }

  /** @returns the queue of a service */
  getQueue (service: string): AdmissionQueue {
    return this.#getState(service).queue
  }

  /** @returns requests per second for each service at this host */
  listDemand (): Record<string, number> {
    return Object.fromEntries([...this.#statesByService].map(([service, { demand }]) => [service, Math.round(demand.readPerSecond() * 10) / 10]))
  }

  #getState (service: string): ServiceState {
    const existing = this.#statesByService.get(service)
    if (existing !== undefined) return existing
    const demand = new DemandMeter(DEMAND_WINDOW_MILLISECONDS)
    const state = { demand, queue: new AdmissionQueue(() => this.#computeLimit(service, demand)) }
    this.#statesByService.set(service, state)
    return state
  }

  #computeLimit (service: string, demandMeter: DemandMeter): number {
    const now = performance.now()
    const isPaused = (record: UpstreamRecord): boolean => this.#loads.findFirstReturn([record], now) !== undefined
    const slots = this.#known.listReady(service)
      .filter(({ record, coldUntil }) => coldUntil <= now && !this.#known.isEvacuated(record.domain) && !this.#loads.isLost(record.id) && !isPaused(record))
      .reduce((sum, { record }) => sum + record.slots, 0)
    return computeSlotShare({ slots, localDemand: demandMeter.readPerSecond(), totalDemand: this.#known.demandOf(service), entryHosts: this.#known.countedEntryHosts })
  }
}
