import { setImmediate as nextTurn } from 'node:timers/promises'
import { mock } from 'node:test'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { chooseRetryAfter } from '../../src/placement/chooseRetryAfter.js'
import type { RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { EntryHostTable } from '../../src/registry/EntryHostTable.js'
import { UpstreamReadiness, type UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createModelHost, regionOf, type ModelEntryHost } from './createModelHost.js'
import { createModelPlan } from './createModelPlan.js'
import type { ModelNetwork } from './ModelConnections.js'
import { ModelResult } from './ModelResult.js'
import { ModelUpstream } from './ModelUpstream.js'
import type { ModelKind, ModelSite } from './modelSites.js'

/** Step of the simulated clock; the shortest delays that matter are some milliseconds long. */
const STEP_MILLISECONDS = 2
/** Interval of the updates from the control host to the entry hosts, and age up to which they use the demand in them. */
const FOLLOW_INTERVAL_MILLISECONDS = 500
/** Run time on a remembered object, as a fraction of the run time on another one. */
const WARM_TIME_FACTOR = 0.3
/** Maximum deviation of a run time from its mean, as a fraction of the mean. */
const WORK_VARIATION = 0.15
/** Amplitude of the load wave of each region, as a fraction of the mean load. */
const WAVE_AMPLITUDE = 0.55
const WAVE_PERIOD_MILLISECONDS = 36_000
const DOMAIN_COUNT = 6
const DOMAIN_DELAY_MILLISECONDS = 1
const HOST_DELAY_MILLISECONDS = 0.3
/** Guests wait before a retry for at most the remaining time divided by this. */
const MAXIMUM_PAUSE_DIVISOR = 3

/** Site, load and faults of a simulated day. */
export interface ModelDaySettings {
  site: ModelSite
  seed: number
  /** Load, as a multiple of the load on a quiet day. */
  load: number
  durationSeconds: number
  /** Period in which the upstreams of the first service shed a fraction of their work although they have free capacity. */
  shed?: { fromSecond: number, toSecond: number, fraction: number }
  /** Time at which all entry hosts are killed; they restart 2 s later. */
  killAtSecond?: number
}

/** One request of a guest, over all attempts. */
interface ModelGuest {
  domain: number
  kind: ModelKind
  objectName: string
  sentAt: number
  /** Attempts that may still follow after a refusal. */
  remainingRetries: number
  /** Run time on an object that the upstream does not remember. */
  coldMilliseconds: number
}

/** Simulates a day of load with the relay, admission and placement of the real entry hosts, on a mocked clock. */
export class ModelDay {
  readonly #settings: ModelDaySettings
  readonly #random: () => number
  readonly #network: ModelNetwork
  readonly #upstreamRecords: UpstreamRecord[] = []
  readonly #plan: RoutingPlan
  readonly #result = new ModelResult()
  #hosts: ModelEntryHost[] = []
  #lastRequestId = 0
  #isDown = false

  /** @param settings - site, load and faults */
  constructor (settings: ModelDaySettings) {
    this.#settings = settings
    const generator = xoroshiro128plus(settings.seed)
    this.#random = () => uniformFloat64(generator)
    this.#network = {
      upstreams: new Map(),
      requests: new Map(),
      getDelayMilliseconds: (from, to) => this.#getDelayMilliseconds(Number(from), Number(to)),
      random: this.#random,
      onRun: (wasWarm, isInOtherRegion) => { this.#result.recordRun(wasWarm, isInOtherRegion) }
    }
    this.#plan = createModelPlan(settings.site)
    for (const service of settings.site.services) this.#addUpstreams(service)
  }

  /**
   * Runs the day, with timers, `Date` and `performance.now` mocked meanwhile.
   *
   * @returns credit and counts of the requests
   */
  async simulate (): Promise<ModelResult> {
    const originalNow = performance.now
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
    performance.now = () => Date.now()
    try {
      this.#startHosts()
      this.#scheduleEvents()
      setInterval(() => { this.#updateHosts() }, FOLLOW_INTERVAL_MILLISECONDS)
      for (let domain = 0; domain < DOMAIN_COUNT; domain += 1) for (const kind of this.#settings.site.kinds) this.#scheduleArrival(domain, kind)
      for (let now = 0; now < this.#settings.durationSeconds * 1_000; now += STEP_MILLISECONDS) {
        mock.timers.tick(STEP_MILLISECONDS)
        await nextTurn()
      }
    } finally {
      mock.timers.reset()
      performance.now = originalNow
    }
    return this.#result
  }

  #addUpstreams (service: ModelSite['services'][number]): void {
    service.upstreamsPerDomain.forEach((count, domain) => {
      for (let number = 0; number < count; number += 1) {
        const id = `${service.name}-${domain}-${number}-${this.#settings.seed}`
        this.#network.upstreams.set(id, new ModelUpstream({ slots: service.slots, queueLength: service.queueLength, warmObjects: service.warmObjects, warmTimeFactor: WARM_TIME_FACTOR }))
        this.#upstreamRecords.push({ id, bornAt: 1, sequence: 1, service: service.name, address: `127.0.0.1:${this.#upstreamRecords.length + 1}`, domain: String(domain), slots: service.slots, readiness: UpstreamReadiness.Ready, coldMilliseconds: 0 })
      }
    })
  }

  #startHosts (): void {
    this.#hosts = this.#settings.site.hostsPerDomain.flatMap((count, domain) => Array.from({ length: count }, (_, number) => createModelHost(this.#network, `${domain}-${number}`, String(domain))))
    this.#updateHosts()
  }

  #updateHosts (): void {
    const table = new EntryHostTable()
    for (const { name, domain, admission } of this.#hosts) table.recordReport({ name, domain, region: regionOf(domain), guestAddress: name, isReady: true, demand: admission.listDemand() })
    const demand = table.sumDemand()
    setTimeout(() => {
      for (const { known } of this.#hosts) {
        known.merge({
          position: { feed: 'model', revision: 1, crashRevision: 0, planVersion: 1, evacuationRevision: 0 },
          plan: this.#plan,
          upstreams: known.plan === undefined ? this.#upstreamRecords.map((record) => ({ record, isLost: false })) : [],
          isComplete: true,
          isCurrent: true,
          entryHosts: this.#hosts.length,
          demand,
          controlHosts: [],
          crashes: { requests: [], unreachableUpstreams: [] },
          losses: []
        })
      }
    }, 1)
  }

  #scheduleEvents (): void {
    const { shed, killAtSecond, site } = this.#settings
    const setShedFraction = (fraction: number): void => {
      for (const { id, service } of this.#upstreamRecords) if (service === site.services[0]!.name) this.#network.upstreams.get(id)!.shedFraction = fraction
    }
    if (shed !== undefined) {
      setTimeout(() => { setShedFraction(shed.fraction) }, shed.fromSecond * 1_000)
      setTimeout(() => { setShedFraction(0) }, shed.toSecond * 1_000)
    }
    if (killAtSecond === undefined) return
    setTimeout(() => { this.#isDown = true }, killAtSecond * 1_000)
    setTimeout(() => {
      this.#isDown = false
      this.#startHosts()
    }, killAtSecond * 1_000 + 2_000)
  }

  #scheduleArrival (domain: number, kind: ModelKind): void {
    const waveFactor = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * (performance.now() / WAVE_PERIOD_MILLISECONDS + [0.4, 0.73, 1.1][Math.floor(domain / 2)]!))
    const arrivalsPerMillisecond = this.#settings.load * kind.requestsPerSecond * waveFactor / DOMAIN_COUNT / 1_000
    setTimeout(() => {
      this.#startGuest(domain, kind)
      this.#scheduleArrival(domain, kind)
    }, -Math.log(1 - this.#random()) / arrivalsPerMillisecond)
  }

  #startGuest (domain: number, kind: ModelKind): void {
    const objectNumber = Math.floor(this.#random() ** 1.2 * kind.objectCount)
    const guest: ModelGuest = { domain, kind, objectName: `${Math.floor(domain / 2)}-${objectNumber}`, sentAt: performance.now(), remainingRetries: 1, coldMilliseconds: kind.workMilliseconds * (1 + WORK_VARIATION * (2 * this.#random() - 1)) }
    this.#result.recordArrival(guest.sentAt, kind.worth, domain)
    this.#sendRequest(guest).catch((error: unknown) => { throw error })
  }

  async #sendRequest (guest: ModelGuest): Promise<void> {
    const { domain, kind, objectName, sentAt } = guest
    const hosts = this.#hosts.filter((host) => host.domain === String(domain))
    const host = hosts[Math.floor(this.#random() * hosts.length)]
    const now = performance.now()
    const remainingMilliseconds = sentAt + kind.deadlineMilliseconds - now
    if (host === undefined || this.#isDown || remainingMilliseconds <= 0) return
    const id = String(++this.#lastRequestId)
    const route = this.#plan.routes.find(({ name }) => name === kind.name)!
    this.#network.requests.set(id, { id, objectKey: `${kind.name}|${objectName}`, coldMilliseconds: guest.coldMilliseconds })
    const answer = await host.relay.serve({
      id,
      method: 'GET',
      path: `/${kind.name}/${objectName}`,
      headers: [{ name: 'attempt-id', value: id }],
      body: Buffer.alloc(0),
      route,
      objectKey: objectName,
      guestDeadline: now + remainingMilliseconds,
      deadline: now + Math.min(remainingMilliseconds, kind.timeoutMilliseconds),
      arrivedAt: now,
      readMilliseconds: 0,
      cancelled: new AbortController().signal
    })
    this.#network.requests.delete(id)
    const elapsedMilliseconds = performance.now() - sentAt + 2 * HOST_DELAY_MILLISECONDS
    if (answer.status === 200) return this.#result.recordServed(sentAt, elapsedMilliseconds <= kind.objectiveMilliseconds ? kind.worth : kind.lateWorth, domain)
    this.#result.recordRefusal()
    if (answer.status !== 503 || guest.remainingRetries === 0) return
    const remainingAfterRefusal = sentAt + kind.deadlineMilliseconds - performance.now()
    const pauseMilliseconds = Math.min(remainingAfterRefusal / MAXIMUM_PAUSE_DIVISOR, chooseRetryAfter(answer.reason ?? RefusalReason.Shed, remainingAfterRefusal, this.#random()) * 1_000)
    setTimeout(() => { this.#sendRequest({ ...guest, remainingRetries: guest.remainingRetries - 1 }).catch((error: unknown) => { throw error }) }, pauseMilliseconds)
  }

  #getDelayMilliseconds (from: number, to: number): number {
    if (Math.floor(from / 2) !== Math.floor(to / 2)) return this.#settings.site.regionDelayMilliseconds
    return from === to ? HOST_DELAY_MILLISECONDS : DOMAIN_DELAY_MILLISECONDS
  }
}
