import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AnswerReport } from '../../src/steering/PoolReport.js'
import { EventQueue } from './EventQueue.js'
import { ModelPool } from './ModelPool.js'

export const MEAN_SERVICE_MILLISECONDS = 20
const WARM_UP_FRACTION = 0.1

/** A host of the model that takes requests from guests. */
export interface ModelHost {
  index: number
  domain: number
}

/** Layout and load of a model. */
export interface ModelSettings {
  seed: number
  requests: number
  /** Slots of each pool; one pool in each failure domain. */
  slots: number[]
  /** Failure domain of each entry host. */
  hostDomains: number[]
  /** Requests that arrive in each failure domain, as a part of its own slots. */
  loads: number[]
  /** One-way delay between two failure domains. */
  getDelayMilliseconds: (from: number, to: number) => number
}

/** Where a request of a model goes, and whether it may wait there. */
export interface ModelChoice {
  pool: number
  mayWait: boolean
}

/** Chooses pools in a model, and hears what becomes of the requests. */
export interface ModelChooser {
  choose: (host: ModelHost, fullPools: ReadonlySet<number>) => ModelChoice
  recordSent?: (host: ModelHost, pool: number) => number
  /** An answer or refusal reached its host. */
  recordEnd?: (host: ModelHost, pool: number, sentAt: number, report: AnswerReport) => void
}

/** Times of the requests of one run, sorted. */
export interface ModelResult {
  /** Time between arrival at the host and its answer, less the run time. */
  delays: Float64Array
  /** Part of the requests that left the region, two failure domains to a region. */
  otherRegionFraction: number
}

/** One request of the model. */
interface ModelRequest {
  arrivedAt: number
  /** Whether it came after the warm-up. */
  isCounted: boolean
  /** Pools that had no room for it. */
  fullPools: ReadonlySet<number>
}

/** A queue model of pools and entry hosts with seeded arrivals. */
export class QueueModel {
  readonly events = new EventQueue()
  readonly pools: ModelPool[]
  readonly hosts: ModelHost[]
  readonly settings: ModelSettings
  readonly random: () => number
  #remainingRequests: number
  #otherRegionRequests = 0
  readonly #delays: number[] = []

  constructor (settings: ModelSettings) {
    const generator = xoroshiro128plus(settings.seed)
    this.random = () => uniformFloat64(generator)
    this.settings = settings
    this.#remainingRequests = settings.requests
    this.pools = settings.slots.map((slots) => new ModelPool(slots, this.events, () => this.#pickExponential(MEAN_SERVICE_MILLISECONDS)))
    this.hosts = settings.hostDomains.map((domain, index) => ({ index, domain }))
  }

  /** Whether requests still arrive. */
  get isRunning (): boolean {
    return this.#remainingRequests > 0
  }

  /** Runs all requests through the chooser. The runtime's monotonic clock shows the model's time meanwhile. */
  run (chooser: ModelChooser): ModelResult {
    const originalNow = Object.getOwnPropertyDescriptor(performance, 'now')
    Object.defineProperty(performance, 'now', { value: () => this.events.now, configurable: true })
    try {
      for (const host of this.hosts) this.#scheduleArrival(host, chooser)
      while (this.events.runNext());
    } finally {
      if (originalNow === undefined) Reflect.deleteProperty(performance, 'now')
      else Object.defineProperty(performance, 'now', originalNow)
    }
    return {
      delays: Float64Array.from(this.#delays).sort(),
      otherRegionFraction: this.#otherRegionRequests / this.#delays.length
    }
  }

  #scheduleArrival (host: ModelHost, chooser: ModelChooser): void {
    const { slots, loads, hostDomains } = this.settings
    const domainHosts = hostDomains.filter((domain) => domain === host.domain).length
    const meanIntervalMilliseconds = MEAN_SERVICE_MILLISECONDS * domainHosts / (slots[host.domain]! * loads[host.domain]!)
    this.events.schedule(this.#pickExponential(meanIntervalMilliseconds), () => {
      if (this.#remainingRequests <= 0) return
      this.#remainingRequests--
      this.#send(host, chooser, { arrivedAt: this.events.now, isCounted: this.#remainingRequests < this.settings.requests * (1 - WARM_UP_FRACTION), fullPools: new Set() })
      this.#scheduleArrival(host, chooser)
    })
  }

  #send (host: ModelHost, chooser: ModelChooser, request: ModelRequest): void {
    const { pool: poolIndex, mayWait } = chooser.choose(host, request.fullPools)
    const pool = this.pools[poolIndex]!
    const delayMilliseconds = this.settings.getDelayMilliseconds(host.domain, poolIndex)
    const sentAt = chooser.recordSent?.(host, poolIndex) ?? this.events.now
    const sendAnswer = (arrivedAt: number, runDuration: { runMilliseconds?: number }, onReceived: () => void) => {
      const report = { freeSlots: pool.freeSlots, slots: pool.slots, heldMilliseconds: this.events.now - arrivedAt, ...runDuration }
      this.events.schedule(delayMilliseconds, () => {
        chooser.recordEnd?.(host, poolIndex, sentAt, report)
        onReceived()
      })
    }
    this.events.schedule(delayMilliseconds, () => {
      const arrivedAt = this.events.now
      if (!mayWait && pool.freeSlots < 1) sendAnswer(arrivedAt, {}, () => this.#send(host, chooser, { ...request, fullPools: new Set([...request.fullPools, poolIndex]) }))
      else pool.accept((runMilliseconds) => sendAnswer(arrivedAt, { runMilliseconds }, () => this.#recordDelay(host, poolIndex, request, runMilliseconds)))
    })
  }

  #recordDelay (host: ModelHost, poolIndex: number, request: ModelRequest, runMilliseconds: number): void {
    if (!request.isCounted) return
    this.#delays.push(Math.max(0, this.events.now - request.arrivedAt - runMilliseconds))
    if (host.domain >> 1 !== poolIndex >> 1) this.#otherRegionRequests++
  }

  #pickExponential (mean: number): number {
    return -mean * Math.log(1 - this.random())
  }
}

/** Value below which a part of sorted values lies. */
export function computePercentile (sortedValues: Float64Array, fraction: number): number {
  return sortedValues[Math.min(sortedValues.length - 1, Math.floor(sortedValues.length * fraction))] ?? NaN
}
