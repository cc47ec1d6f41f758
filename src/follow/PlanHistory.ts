import { diffPlans, type PlanDelta } from '../plan/PlanDelta.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'

/** Plans that are kept to tell differences: an entry host in touch is a change or two behind, in a quick series some more. */
const KEPT_PLANS = 8

/** The last plans of a control host, for entry hosts that know one of them. */
export class PlanHistory {
  #plans: RoutingPlan[] = []
  /** From each earlier plan to the newest one: many hosts ask for the same. */
  readonly #deltas = new Map<number, PlanDelta>()

  /** Notes the plan in force, if it is a new one. */
  note (plan: RoutingPlan | undefined): void {
    if (plan === undefined || plan.version <= (this.#plans[0]?.version ?? 0)) return
    this.#plans = [plan, ...this.#plans].slice(0, KEPT_PLANS)
    this.#deltas.clear()
  }

  /**
   * @param version - a plan that an entry host knows
   * @returns what leads from there to the newest plan, undefined when the plan is not kept or nearly all of it changed
   */
  deltaFrom (version: number): PlanDelta | undefined {
    const [newest, ...former] = this.#plans
    const base = former.find((plan) => plan.version === version)
    if (newest === undefined || base === undefined) return undefined
    const delta = this.#deltas.get(version) ?? diffPlans(base, newest)
    this.#deltas.set(version, delta)
    return delta.routes.length < newest.routes.length ? delta : undefined
  }
}
