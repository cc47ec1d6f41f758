import { diffPlans, type PlanDelta } from '../plan/PlanDelta.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'

/** Plans that are kept to tell differences: an entry host in touch is a change or two behind, in a quick series some more. */
const RETAINED_PLANS = 8

/** The last plans of a control host, for entry hosts that know one of them. */
export class PlanHistory {
  #plans: RoutingPlan[] = []
  /** From each earlier plan to the newest one: many hosts ask for the same. */
  readonly #deltasByBaseVersion = new Map<number, PlanDelta>()

  /** Notes the plan in force, if it is a new one. */
  record (plan: RoutingPlan | undefined): void {
    if (plan === undefined || plan.version <= (this.#plans[0]?.version ?? 0)) return
    this.#plans = [plan, ...this.#plans].slice(0, RETAINED_PLANS)
    this.#deltasByBaseVersion.clear()
  }

  /**
   * @param baseVersion - a plan that an entry host knows
   * @returns what leads from there to the newest plan, undefined when the plan is not kept or nearly all of it changed
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
