import type { UpstreamStatus } from '../../daemon/describeStatus.js'
import type { DrainSummary } from './DrainSummary.js'
import { DrainTarget } from './DrainTarget.js'
import type { HostSample } from './HostSample.js'

const MILLISECONDS_PER_SECOND = 1000

/** A drain that this run ordered, or tried to order. */
export interface OrderedDrain {
  target: DrainTarget
  /** Name of the place, or address of the upstream. */
  name: string
  /** Time of the order, from the start of the run. */
  atMilliseconds: number
  /** Failure domain of a place. */
  domain?: string
  /** Error of an order that failed. */
  failure?: string
}

/** State of one upstream as its owner reported it in the newest sample; times count from the start of the run. */
interface UpstreamObservation {
  domain: string
  address: string
  leavingAt: number | undefined
  lastStartedAt: number
  lastEndedAt: number
  running: number
}

/** Measures drains from samples: the time until the last request started, and until the last request ended. */
export class DrainTally {
  readonly #observationsByHostAndAddress = new Map<string, UpstreamObservation>()
  readonly #orderedDrains: OrderedDrain[] = []

  /** @param drain - a drain that was ordered, or whose order failed */
  recordOrder (drain: OrderedDrain): void {
    this.#orderedDrains.push(drain)
  }

  /** @param sample - statuses of the hosts, newer than all samples before */
  add ({ atMilliseconds, statuses }: HostSample): void {
    for (const { host, departed, upstreams } of statuses) {
      // A departed upstream may have come back: its current entry comes last and replaces the departed one.
      for (const upstream of [...departed, ...upstreams]) {
        this.#observationsByHostAndAddress.set(`${host.name} ${upstream.address}`, observeUpstream(host.domain, upstream, atMilliseconds))
      }
    }
  }

  /** @returns ordered drains and leaves during the run, by time */
  summarize (): DrainSummary[] {
    const drains = [...this.#orderedDrains.map((drain) => this.#summarizeOrderedDrain(drain)), ...this.#summarizeLeaves()]
    return drains.sort((left, right) => left.atSeconds - right.atSeconds)
  }

  #summarizeOrderedDrain (drain: OrderedDrain): DrainSummary {
    const { target, name, domain, failure, atMilliseconds } = drain
    const observations = [...this.#observationsByHostAndAddress.values()].filter((observation) => target === DrainTarget.Place ? observation.domain === domain : observation.address === name)
    const figures = failure === undefined ? measureDrain(observations, atMilliseconds) : { lastNewWorkMilliseconds: 0, running: 0, failure }
    return { target, name, ordered: true, atSeconds: atMilliseconds / MILLISECONDS_PER_SECOND, ...figures }
  }

  #summarizeLeaves (): DrainSummary[] {
    return [...this.#observationsByHostAndAddress.values()].flatMap((observation): DrainSummary[] => {
      const { address, leavingAt } = observation
      if (leavingAt === undefined || leavingAt < 0 || this.#orderedDrains.some(({ name }) => name === address)) return []
      return [{ target: DrainTarget.Upstream, name: address, ordered: false, atSeconds: leavingAt / MILLISECONDS_PER_SECOND, ...measureDrain([observation], leavingAt) }]
    })
  }
}

function observeUpstream (domain: string, upstream: UpstreamStatus, now: number): UpstreamObservation {
  const { address, running, sinceLeavingMilliseconds, sinceStartMilliseconds = Infinity, sinceEndMilliseconds = Infinity } = upstream
  return {
    domain,
    address,
    leavingAt: sinceLeavingMilliseconds === undefined ? undefined : now - sinceLeavingMilliseconds,
    lastStartedAt: now - sinceStartMilliseconds,
    lastEndedAt: now - sinceEndMilliseconds,
    running
  }
}

function measureDrain (observations: UpstreamObservation[], since: number): Pick<DrainSummary, 'lastNewWorkMilliseconds' | 'drainMilliseconds' | 'running'> {
  const findMaximumDelay = (times: number[]): number => Math.max(0, ...times.map((time) => time - since))
  const running = observations.reduce((sum, observation) => sum + observation.running, 0)
  const lastNewWorkMilliseconds = findMaximumDelay(observations.map((observation) => observation.lastStartedAt))
  return { lastNewWorkMilliseconds, running, ...running > 0 ? {} : { drainMilliseconds: findMaximumDelay(observations.map((observation) => observation.lastEndedAt)) } }
}
