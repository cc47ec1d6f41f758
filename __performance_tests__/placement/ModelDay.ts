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
import { describeModelPlan } from './describeModelPlan.js'
import type { ModelNetwork } from './ModelConnections.js'
import { ModelResult } from './ModelResult.js'
import { ModelUpstream } from './ModelUpstream.js'
import type { ModelKind, ModelSite } from './modelSites.js'

/** One step of the model's clock; the shortest delays that matter are some milliseconds. */
const STEP_MILLISECONDS = 2
/** How often hosts hear from their control host, and how old the demand is that they hear. */
const FOLLOW_MILLISECONDS = 500
const WARM_FACTOR = 0.3
const WORK_SPREAD = 0.15
const WAVE_SWING = 0.55
const WAVE_MILLISECONDS = 36_000
const DOMAINS = 6
const DOMAIN_MILLISECONDS = 1
const HOST_MILLISECONDS = 0.3
/** Guests wait for at most this part of the time they have left. */
const MOST_PAUSE_DIVISOR = 3

/** What happens on a model's day. */
export interface ModelDaySettings {
  site: ModelSite
  seed: number
  /** Load, as a multiple of the quiet day's. */
  load: number
  seconds: number
  /** Seconds from and to which upstreams of the first service shed a part of their work although they have room. */
  shed?: { from: number, to: number, part: number }
  /** When all entry hosts are killed, in seconds; they are back 2 s later. */
  killAt?: number
}

/** A guest of the model, over all its sends. */
interface ModelGuest {
  domain: number
  kind: ModelKind
  object: string
  sentAt: number
  /** How often it comes back after a refusal. */
  retries: number
  /** Time of its run on an object that is not remembered, in milliseconds. */
  work: number
}

/** Plays a day of load against the entry hosts' own relay, admission and placement, on a paused clock. */
export class ModelDay {
  readonly #settings: ModelDaySettings
  readonly #random: () => number
  readonly #network: ModelNetwork
  readonly #records: UpstreamRecord[] = []
  readonly #plan: RoutingPlan
  readonly #result = new ModelResult()
  #hosts: ModelEntryHost[] = []
  #identifiers = 0
  #isDown = false

  /** @param settings - site, load and events */
  constructor (settings: ModelDaySettings) {
    this.#settings = settings
    const generator = xoroshiro128plus(settings.seed)
    this.#random = () => uniformFloat64(generator)
    this.#network = {
      upstreams: new Map(),
      requests: new Map(),
      delay: (from, to) => this.#delay(Number(from), Number(to)),
      random: this.#random,
      onRun: (wasWarm, isElsewhere) => { this.#result.noteRun(wasWarm, isElsewhere) }
    }
    this.#plan = describeModelPlan(settings.site)
    for (const service of settings.site.services) this.#addUpstreams(service)
  }

  /** @returns what the guests got */
  async play (): Promise<ModelResult> {
    const original = performance.now
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
    performance.now = () => Date.now()
    try {
      this.#startHosts()
      this.#scheduleEvents()
      setInterval(() => { this.#follow() }, FOLLOW_MILLISECONDS)
      for (let domain = 0; domain < DOMAINS; domain += 1) for (const kind of this.#settings.site.kinds) this.#scheduleArrival(domain, kind)
      for (let now = 0; now < this.#settings.seconds * 1_000; now += STEP_MILLISECONDS) {
        mock.timers.tick(STEP_MILLISECONDS)
        await nextTurn()
      }
    } finally {
      mock.timers.reset()
      performance.now = original
    }
    return this.#result
  }

  #addUpstreams (service: ModelSite['services'][number]): void {
    service.upstreams.forEach((count, domain) => {
      for (let number = 0; number < count; number += 1) {
        const id = `${service.name}-${domain}-${number}-${this.#settings.seed}`
        this.#network.upstreams.set(id, new ModelUpstream({ slots: service.slots, queue: service.queue, warmObjects: service.warmObjects, warmFactor: WARM_FACTOR }))
        this.#records.push({ id, bornAt: 1, sequence: 1, service: service.name, address: id, domain: String(domain), slots: service.slots, readiness: UpstreamReadiness.Ready, coldMilliseconds: 0 })
      }
    })
  }

  #startHosts (): void {
    this.#hosts = this.#settings.site.hosts.flatMap((count, domain) => Array.from({ length: count }, (_, number) => createModelHost(this.#network, `${domain}-${number}`, String(domain))))
    this.#follow()
  }

  #follow (): void {
    const table = new EntryHostTable()
    for (const { name, domain, admission } of this.#hosts) table.recordReport({ name, domain, region: regionOf(domain), guestAddress: name, isReady: true, demand: admission.listDemand() })
    const demand = table.sumDemand()
    setTimeout(() => {
      for (const { known } of this.#hosts) {
        known.merge({
          position: { feed: 'model', revision: 1, lossRevision: 0, planVersion: 1, evacuationRevision: 0 },
          plan: this.#plan,
          upstreams: known.plan === undefined ? this.#records.map((record) => ({ record, isLost: false })) : [],
          isComplete: true,
          isCurrent: true,
          entryHosts: this.#hosts.length,
          demand,
          controlHosts: [],
          losses: []
        })
      }
    }, 1)
  }

  #scheduleEvents (): void {
    const { shed, killAt, site } = this.#settings
    const setShed = (part: number): void => {
      for (const { id, service } of this.#records) if (service === site.services[0]!.name) this.#network.upstreams.get(id)!.shedPart = part
    }
    if (shed !== undefined) {
      setTimeout(() => { setShed(shed.part) }, shed.from * 1_000)
      setTimeout(() => { setShed(0) }, shed.to * 1_000)
    }
    if (killAt === undefined) return
    setTimeout(() => { this.#isDown = true }, killAt * 1_000)
    setTimeout(() => {
      this.#isDown = false
      this.#startHosts()
    }, killAt * 1_000 + 2_000)
  }

  #scheduleArrival (domain: number, kind: ModelKind): void {
    const wave = 1 + WAVE_SWING * Math.sin(2 * Math.PI * (performance.now() / WAVE_MILLISECONDS + [0.4, 0.73, 1.1][Math.floor(domain / 2)]!))
    const perMillisecond = this.#settings.load * kind.perSecond * wave / DOMAINS / 1_000
    setTimeout(() => {
      this.#arrive(domain, kind)
      this.#scheduleArrival(domain, kind)
    }, -Math.log(1 - this.#random()) / perMillisecond)
  }

  #arrive (domain: number, kind: ModelKind): void {
    const object = Math.floor(this.#random() ** 1.2 * kind.objects)
    const guest: ModelGuest = { domain, kind, object: `${Math.floor(domain / 2)}-${object}`, sentAt: performance.now(), retries: 1, work: kind.workMilliseconds * (1 + WORK_SPREAD * (2 * this.#random() - 1)) }
    this.#result.noteOwed(guest.sentAt, kind.worth, domain)
    this.#ask(guest).catch((error: unknown) => { throw error })
  }

  async #ask (guest: ModelGuest): Promise<void> {
    const { domain, kind, object, sentAt } = guest
    const hosts = this.#hosts.filter((host) => host.domain === String(domain))
    const host = hosts[Math.floor(this.#random() * hosts.length)]
    const now = performance.now()
    const remaining = sentAt + kind.deadlineMilliseconds - now
    if (host === undefined || this.#isDown || remaining <= 0) return
    const id = String(++this.#identifiers)
    const route = this.#plan.routes.find(({ name }) => name === kind.name)!
    this.#network.requests.set(id, { id, objectKey: `${kind.name}|${object}`, coldMilliseconds: guest.work })
    const answer = await host.relay.serve({
      id,
      method: 'GET',
      path: `/${kind.name}/${object}`,
      headers: [{ name: 'attempt-id', value: id }],
      body: Buffer.alloc(0),
      route,
      objectKey: object,
      guestDeadline: now + remaining,
      deadline: now + Math.min(remaining, kind.timeoutMilliseconds),
      arrivedAt: now,
      readMilliseconds: 0,
      cancelled: new AbortController().signal
    })
    this.#network.requests.delete(id)
    const took = performance.now() - sentAt + 2 * HOST_MILLISECONDS
    if (answer.status === 200) return this.#result.noteServed(sentAt, took <= kind.objectiveMilliseconds ? kind.worth : kind.lateWorth, domain)
    this.#result.noteRefused()
    if (answer.status !== 503 || guest.retries === 0) return
    const left = sentAt + kind.deadlineMilliseconds - performance.now()
    const pause = Math.min(left / MOST_PAUSE_DIVISOR, chooseRetryAfter(answer.reason ?? RefusalReason.Shed, left, this.#random()) * 1_000)
    setTimeout(() => { this.#ask({ ...guest, retries: guest.retries - 1 }).catch((error: unknown) => { throw error }) }, pause)
  }

  #delay (from: number, to: number): number {
    if (Math.floor(from / 2) !== Math.floor(to / 2)) return this.#settings.site.regionMilliseconds
    return from === to ? HOST_MILLISECONDS : DOMAIN_MILLISECONDS
  }
}
