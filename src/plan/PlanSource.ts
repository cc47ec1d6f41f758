import type { RoutingPlan } from './RoutingPlan.js'

/** Accepted plans and evacuations, as entry hosts are told of them. */
export interface PlanSource {
  /** The plan in force, undefined before the first. */
  readonly plan: RoutingPlan | undefined
  /** Failure domains whose upstreams get no new work. */
  readonly evacuated: string[]
  /** Rises with each change of the evacuations. */
  readonly evacuationRevision: number
}
