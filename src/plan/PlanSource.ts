import type { RoutingPlan } from './RoutingPlan.js'

/** Accepted plans and evacuations, as sent to entry hosts. */
export interface PlanSource {
  /** The plan in force, undefined before the first plan. */
  readonly plan: RoutingPlan | undefined
  /** Failure domains whose upstreams get no new work. */
  readonly evacuated: string[]
  /** Increases with each change of the evacuations. */
  readonly evacuationRevision: number
}
