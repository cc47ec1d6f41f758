import type { PlanSource } from './PlanSource.js'
import type { RoutingPlan } from './RoutingPlan.js'

/**
 * Plans and evacuations of a replica that has started anew. What it had applied before is accepted for good, but the
 * replica knows that again only once a leader has committed an entry; until then it tells what it recalls.
 */
export class RecalledPlans implements PlanSource {
  readonly #applied: PlanSource
  #recalled: PlanSource | undefined

  /** @param applied - what the replica has applied in this life */
  constructor (applied: PlanSource) {
    this.#applied = applied
  }

  /** @param recalled - what the replica had applied in an earlier life */
  recall (recalled: PlanSource): void {
    this.#recalled = recalled
  }

  get plan (): RoutingPlan | undefined {
    const { plan } = this.#applied
    const recalled = this.#recalled?.plan
    return recalled !== undefined && recalled.version > (plan?.version ?? 0) ? recalled : plan
  }

  get evacuated (): string[] {
    return this.#newerEvacuations().evacuated
  }

  get evacuationRevision (): number {
    return this.#newerEvacuations().evacuationRevision
  }

  #newerEvacuations (): PlanSource {
    const recalled = this.#recalled
    return recalled !== undefined && recalled.evacuationRevision > this.#applied.evacuationRevision ? recalled : this.#applied
  }
}
