import { setImmediate as nextTurn } from 'node:timers/promises'
import { mock } from 'node:test'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createEntryRequest } from '../../__tests__/entry/createEntryRequest.js'
import { createRelayFixture, type RelayFixture } from '../../__tests__/entry/createRelayFixture.js'
import { ScriptedConnections } from '../../__tests__/support/ScriptedConnections.js'
import { Counters } from '../../src/observe/Counters.js'
import { Outcome } from '../../src/types/Outcome.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { NoisyMachine, NoisyUpstream } from './NoisyUpstream.js'

const STEP_MILLISECONDS = 5
const UPSTREAM_COUNT = 40
/** As in the records of {@link createRelayFixture}. */
const SLOTS = 4
const UPSTREAMS_PER_MACHINE = 2
/** Part of the work that takes much longer, and how much. */
const LONG_FRACTION = 0.03
const LONG_FACTOR = 7
const TIMEOUT_MILLISECONDS = 4_000
const WINDOW_MILLISECONDS = 10_000
/** Time at the start that the figures leave out: nothing is warm, and the host does not know yet what is usual. */
const WARM_UP_MILLISECONDS = 10_000

/** Load and faults of a simulated day at one entry host. */
export interface NoisyDaySettings {
  seed: number
  secondAttemptRatio: number
  durationSeconds: number
  requestsPerSecond: number
  workMilliseconds: number
  objectiveMilliseconds: number
  /** Number of objects, where an upstream is faster on an object that it handled recently; undefined where it is not. */
  objects?: number
  /** Factor of the time of all work at the first upstream, which it does not report. */
  greyFactor?: number
  /** @returns factor of the time of all work at all upstreams, by the time since the start */
  loadFactor?: (now: number) => number
}

/** Figures of a simulated day. */
export interface NoisyDayResult {
  requests: number
  /** 99th percentile of the time to the answer, in milliseconds; a request without an answer counts as its timeout. */
  p99: number
  /** Fraction of the requests that were answered within the objective. */
  withinObjective: number
  /** Fraction of the requests that were answered at all. */
  served: number
  /** Counts of second attempts of the whole day, by what became of them. */
  second: { begun: number, won: number, lost: number, denied: number }
  /** Number of second attempts after the start, per request. */
  extraRatio: number
  /** Largest number of second attempts per request in a window of 10 s. */
  largestExtraRatio: number
  /** Time for which slots were in use, in milliseconds. */
  slotMilliseconds: number
}

/** Simulates one entry host with the real relay, admission and placement, on a mocked clock. */
export class NoisyDay {
  readonly #settings: NoisyDaySettings
  readonly #random: () => number
  readonly #upstreams = new Map<string, NoisyUpstream>()
  readonly #workByRequest = new Map<string, number>()
  readonly #latencies: number[] = []
  readonly #arrivals: number[] = []
  readonly #extraAttempts: number[] = []
  readonly #counters = new Counters()
  #nextArrivalAt = 0
  #lastNumber = 0
  #served = 0
  #withinObjective = 0
  #slotMilliseconds = 0

  constructor (settings: NoisyDaySettings) {
    this.#settings = settings
    const generator = xoroshiro128plus(settings.seed)
    this.#random = () => uniformFloat64(generator)
  }

  /** Runs the day, with timers, `Date` and `performance.now` mocked meanwhile. */
  async simulate (): Promise<NoisyDayResult> {
    const originalNow = performance.now
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 0 })
    performance.now = () => Date.now()
    try {
      const { relay } = this.#createRelay()
      for (let now = 0; now < this.#settings.durationSeconds * 1_000 + TIMEOUT_MILLISECONDS; now += STEP_MILLISECONDS) {
        mock.timers.tick(STEP_MILLISECONDS)
        this.#sendArrived(relay)
        await nextTurn()
        for (const { running } of this.#upstreams.values()) this.#slotMilliseconds += running * STEP_MILLISECONDS
      }
    } finally {
      mock.timers.reset()
      performance.now = originalNow
    }
    return this.#summarize()
  }

  #createRelay (): RelayFixture {
    const { seed, greyFactor = 1, loadFactor = () => 1, objects, secondAttemptRatio } = this.#settings
    const machines = Array.from({ length: UPSTREAM_COUNT / UPSTREAMS_PER_MACHINE }, (_, number) => new NoisyMachine(seed * 1_000 + number, loadFactor))
    const addresses = Array.from({ length: UPSTREAM_COUNT }, (_, number) => `127.0.0.9:${number + 1}`)
    addresses.forEach((address, number) => { this.#upstreams.set(address, new NoisyUpstream(machines[number % machines.length]!, SLOTS, number === 0 ? greyFactor : 1)) })
    const sentRequests = new Set<string>()
    const connections = new ScriptedConnections((exchange) => {
      if (sentRequests.has(exchange.attemptId)) this.#extraAttempts.push(performance.now())
      sentRequests.add(exchange.attemptId)
      // Long work is a matter of the run and not of the request.
      const isLong = this.#random() < LONG_FRACTION
      this.#upstreams.get(exchange.record.address)!.accept(exchange, this.#workByRequest.get(exchange.attemptId)! * (isLong ? LONG_FACTOR : 1))
    })
    return createRelayFixture(addresses, { sticky: objects !== undefined, timeoutMilliseconds: TIMEOUT_MILLISECONDS }, {
      counters: this.#counters,
      secondAttemptRatio: () => secondAttemptRatio,
      retryBound: () => ({ ratio: 0.2, allowance: 10, windowMilliseconds: WINDOW_MILLISECONDS })
    }, connections, async () => ListenerState.Open)
  }

  /** Sends the requests that have arrived by now; timers of the mocked clock would delay each by up to a step. */
  #sendArrived (relay: RelayFixture['relay']): void {
    const { durationSeconds, requestsPerSecond } = this.#settings
    while (this.#nextArrivalAt <= Math.min(performance.now(), durationSeconds * 1_000)) {
      this.#lastNumber += 1
      this.#send(relay, this.#lastNumber).catch((error: unknown) => { throw error })
      this.#nextArrivalAt -= Math.log(1 - this.#random()) / requestsPerSecond * 1_000
    }
  }

  async #send (relay: RelayFixture['relay'], number: number): Promise<void> {
    const { objects, workMilliseconds, objectiveMilliseconds } = this.#settings
    const id = String(number)
    const object = objects === undefined ? id : String(Math.floor(this.#random() ** 1.2 * objects))
    const startedAt = performance.now()
    const deadline = startedAt + TIMEOUT_MILLISECONDS
    this.#workByRequest.set(id, workMilliseconds * (0.85 + 0.3 * this.#random()))
    this.#arrivals.push(startedAt)
    const answer = await relay.serve(createEntryRequest({ sticky: objects !== undefined }, { id, headers: [{ name: 'attempt-id', value: id }], path: `/lookups/${object}`, objectKey: object, deadline, guestDeadline: deadline }))
    if (startedAt < WARM_UP_MILLISECONDS) return
    const latency = answer.outcome === Outcome.Ran ? performance.now() - startedAt : TIMEOUT_MILLISECONDS
    this.#latencies.push(latency)
    if (answer.outcome === Outcome.Ran) this.#served += 1
    if (latency <= objectiveMilliseconds) this.#withinObjective += 1
  }

  #summarize (): NoisyDayResult {
    const sorted = this.#latencies.sort((left, right) => left - right)
    const read = (name: string): number => this.#counters.read(`second-attempt.${name}`)
    return {
      requests: sorted.length,
      p99: Math.round(sorted[Math.floor(sorted.length * 0.99)]!),
      withinObjective: this.#withinObjective / sorted.length,
      served: this.#served / sorted.length,
      second: { begun: read('begun'), won: read('won'), lost: read('lost'), denied: read('denied') },
      extraRatio: this.#extraAttempts.filter((at) => at >= WARM_UP_MILLISECONDS).length / sorted.length,
      largestExtraRatio: this.#findLargestExtraRatio(),
      slotMilliseconds: this.#slotMilliseconds
    }
  }

  #findLargestExtraRatio (): number {
    const countWithin = (times: number[], end: number): number => times.filter((at) => at > end - WINDOW_MILLISECONDS && at <= end).length
    return Math.max(0, ...this.#extraAttempts.filter((at) => at >= WINDOW_MILLISECONDS).map((end) => countWithin(this.#extraAttempts, end) / countWithin(this.#arrivals, end)))
  }
}
