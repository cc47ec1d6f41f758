import type { PlanSource } from './PlanSource.js'
import type { RoutingPlan } from './RoutingPlan.js'

/**
 * Plans and evacuations of a replica that has started anew. What it had applied before is accepted for good, but the
 * replica knows that again only once a leader has committed an entry; until then it tells what it recalls.
 */
export class RestoredPlans implements PlanSource {
  readonly #applied: PlanSource
  #restored: PlanSource | undefined

  /** @param applied - what the replica has applied in this life */
  constructor (applied: PlanSource) {
    this.#applied = applied
  }

  /** @param restored - what the replica had applied in an earlier life */
  restore (restored: PlanSource): void {
    this.#restored = restored
  }

  get plan (): RoutingPlan | undefined {
    const { plan } = this.#applied
    const restored = this.#restored?.plan
    return restored !== undefined && restored.version > (plan?.version ?? 0) ? restored : plan
  }

  get evacuated (): string[] {
    return this.#getNewerEvacuations().evacuated
  }

  get evacuationRevision (): number {
    return this.#getNewerEvacuations().evacuationRevision
  }

  #getNewerEvacuations (): PlanSource {
    const restored = this.#restored
    return restored !== undefined && restored.evacuationRevision > this.#applied.evacuationRevision ? restored : this.#applied
  }
}
