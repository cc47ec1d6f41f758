import type { PlanSource } from './PlanSource.js'
import type { RoutingPlan } from './RoutingPlan.js'

/**
 * Plans and evacuations of a restarted replica. The state that it had applied before the restart is committed, but the
 * replica applies it again only once a leader has committed an entry. Until then this source gives the restored state,
 * where that is newer.
 */
export class RestoredPlans implements PlanSource {
  readonly #applied: PlanSource
  #restored: PlanSource | undefined

  /** @param applied - state that the replica has applied since its start */
  constructor (applied: PlanSource) {
    this.#applied = applied
  }

  /** @param restored - state that the replica had applied before its restart */
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
