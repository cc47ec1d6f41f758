import type { DrainTarget } from './DrainTarget.js'

/** Times of one drain, as reported by the owners of the upstreams. */
export interface DrainSummary {
  target: DrainTarget
  /** Name of the place, or address of the upstream. */
  name: string
  /** Whether this run ordered the drain; otherwise the upstream left on its own. */
  ordered: boolean
  /** Time of the order, or the time at which the owner learned of the leave, from the start of the run. */
  atSeconds: number
  /** From that time to the start of the last request; 0 when none started afterwards. */
  lastNewWorkMilliseconds: number
  /** From that time to the end of the last request; absent while requests are running. */
  drainMilliseconds?: number
  /** Requests that were still running when the run ended. */
  running: number
  /** Error of an order that failed. */
  failure?: string
}
