import type { UpstreamStatus } from '../../daemon/describeStatus.js'
import type { DrainSummary } from './DrainSummary.js'
import { DrainTarget } from './DrainTarget.js'
import type { HostSample } from './HostSample.js'

const MILLISECONDS_PER_SECOND = 1000

/** A drain that was ordered. */
export interface OrderedDrain {
  target: DrainTarget
  name: string
  atMilliseconds: number
  /** Failure domain of a place. */
  domain?: string
  failure?: string
}

/** One upstream as one owner saw it: what is known of it is the newest of all samples. */
interface UpstreamObservation {
  domain: string
  address: string
  leavingAt: number | undefined
  lastStartedAt: number
  lastEndedAt: number
  running: number
}

/** Finds out how long drains took: until the last new work, and until the last request had ended. */
export class DrainTally {
  readonly #observationsByHostAndAddress = new Map<string, UpstreamObservation>()
  readonly #orderedDrains: OrderedDrain[] = []

  /** @param drain - a drain that was just ordered */
  recordOrder (drain: OrderedDrain): void {
    this.#orderedDrains.push(drain)
  }

  /** @param sample - what the hosts said; later than those before */
  add ({ atMilliseconds, statuses }: HostSample): void {
    for (const { host, departed, upstreams } of statuses) {
      // A departed upstream may have come back; what is listed last counts.
      for (const upstream of [...departed, ...upstreams]) {
        this.#observationsByHostAndAddress.set(`${host.name} ${upstream.address}`, observeUpstream(host.domain, upstream, atMilliseconds))
      }
    }
  }

  /** @returns ordered drains and leaves, by time */
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
