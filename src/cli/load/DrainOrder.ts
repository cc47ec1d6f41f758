import type { DrainTarget } from './DrainTarget.js'

/** A drain to order from the operator interface during a load run. */
export interface DrainOrder {
  target: DrainTarget
  /** Name of the place, or address of the upstream. */
  name: string
}
