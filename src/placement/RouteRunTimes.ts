import { RecentMap } from '../utils/RecentMap.js'
import { RunTimes } from './RunTimes.js'

/** Minimum number of pairs of a route and a service whose runs are retained; each takes about 4 KB. */
const MINIMUM_RETAINED_PAIRS = 64

/** Recent runs of one route at one service. */
export interface KnownRuns {
  /** Runs at upstreams where the object was known to be warm. */
  warm: RunTimes
  /** All other runs. */
  other: RunTimes
}

/** Recent runs of all routes at their services. */
export class RouteRunTimes {
  readonly #runsByKey = new RecentMap<KnownRuns>(MINIMUM_RETAINED_PAIRS)

  /** @returns the runs of a route at a service, without any when there were none recently */
  get (route: string, service: string): KnownRuns {
    const key = `${route} ${service}`
    const runs = this.#runsByKey.get(key) ?? { warm: new RunTimes(), other: new RunTimes() }
    this.#runsByKey.set(key, runs)
    return runs
  }
}
