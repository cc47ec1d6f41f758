import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AnswerReport } from '../../src/steering/PoolReport.js'
import { EventQueue } from './EventQueue.js'
import { ModelPool } from './ModelPool.js'

/** Mean of the exponential service times. */
export const MEAN_SERVICE_MILLISECONDS = 20
/** Fraction of the requests that arrive before the measurement begins. */
const WARM_UP_FRACTION = 0.1

/** A simulated entry host, which receives requests of guests. */
export interface ModelHost {
  index: number
  /** Index of its failure domain. */
  domain: number
}

/** Layout and load of a queue model. */
export interface ModelSettings {
  seed: number
  requests: number
  /** Slots of each pool; one pool in each failure domain. */
  slots: number[]
  /** Failure domain of each entry host. */
  hostDomains: number[]
  /** Load that arrives in each failure domain, as a fraction of the capacity of its own slots. */
  loads: number[]
  /** One-way delay between two failure domains, in milliseconds. */
  getDelayMilliseconds: (from: number, to: number) => number
}

/** The pool chosen for a request. */
export interface ModelChoice {
  pool: number
  /** Whether the request may wait in the queue of the pool; otherwise a full pool refuses it. */
  mayWait: boolean
}

/** Chooses pools for requests, and is notified of sent requests and their answers. */
export interface ModelChooser {
  choose: (host: ModelHost, fullPools: ReadonlySet<number>) => ModelChoice
  /** Called when a request is sent; returns the time of sending, in milliseconds. */
  recordSent?: (host: ModelHost, pool: number) => number
  /** Called when an answer or a refusal reaches the host. */
  recordEnd?: (host: ModelHost, pool: number, sentAt: number, report: AnswerReport) => void
}

/** Results of one run. */
export interface ModelResult {
  /** Sorted times from arrival at the host to the answer there, less the run time, in milliseconds. */
  delays: Float64Array
  /** Fraction of the requests served in another region; each region has two failure domains. */
  otherRegionFraction: number
}

/** One simulated request. */
interface ModelRequest {
  arrivedAt: number
  /** Whether it arrived after the warm-up. */
  isCounted: boolean
  /** Pools that refused it because they had no free slot. */
  fullPools: ReadonlySet<number>
}

/** Simulates pools and entry hosts with seeded Poisson arrivals and exponential service times. */
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

  /** Whether more requests arrive. */
  get isRunning (): boolean {
    return this.#remainingRequests > 0
  }

  /** Runs all requests through the chooser. Meanwhile `performance.now` returns the simulated time, as the code under test reads it. */
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

/**
 * @param sortedValues - values in ascending order
 * @param fraction - fraction of the values that lie below the result, from 0 to 1
 * @returns the percentile; NaN without values
 */
export function computePercentile (sortedValues: Float64Array, fraction: number): number {
  return sortedValues[Math.min(sortedValues.length - 1, Math.floor(sortedValues.length * fraction))] ?? NaN
}
