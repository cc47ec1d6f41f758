import { diffPlans, type PlanDelta } from '../plan/PlanDelta.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'

/** Plans retained to compute deltas: a connected entry host is one or two changes behind, during a quick series some more. */
const RETAINED_PLANS = 8

/** The last plans of a control host, to send deltas to entry hosts that have one of them. */
export class PlanHistory {
  #plans: RoutingPlan[] = []
  /** Deltas from earlier plans to the newest one, cached because many hosts need the same one. */
  readonly #deltasByBaseVersion = new Map<number, PlanDelta>()

  /** Records the plan in force, if it is newer than the recorded ones. */
  record (plan: RoutingPlan | undefined): void {
    if (plan === undefined || plan.version <= (this.#plans[0]?.version ?? 0)) return
    this.#plans = [plan, ...this.#plans].slice(0, RETAINED_PLANS)
    this.#deltasByBaseVersion.clear()
  }

  /**
   * @param baseVersion - version of the plan that an entry host has
   * @returns the delta to the newest plan, undefined when the base is not retained or nearly all routes changed, so that the delta saves nothing
   */
  findDelta (baseVersion: number): PlanDelta | undefined {
    const [newest, ...earlier] = this.#plans
    const base = earlier.find((plan) => plan.version === baseVersion)
    if (newest === undefined || base === undefined) return undefined
    const delta = this.#deltasByBaseVersion.get(baseVersion) ?? diffPlans(base, newest)
    this.#deltasByBaseVersion.set(baseVersion, delta)
    return delta.routes.length < newest.routes.length ? delta : undefined
  }
}
