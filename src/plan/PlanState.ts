import { PlanEntryKind, type EvacuationEntry, type PlanEntry, type PlanSubmission } from './PlanEntry.js'
import { PlanResult } from './PlanResult.js'
import type { PlanSource } from './PlanSource.js'
import type { RoutingPlan } from './RoutingPlan.js'

/** Maximum number of accepted submissions that are retained to acknowledge one that is sent again; some hundreds are sent a day. */
const MAXIMUM_RETAINED_SUBMISSIONS = 10_000

/** Durable form of plans and evacuations. */
export interface StoredPlanState {
  current?: PlanSubmission
  accepted: string[]
  evacuated: string[]
  evacuationRevision: number
}

/** Plans and evacuations that every replica derives from the log. */
export class PlanState implements PlanSource {
  #current: PlanSubmission | undefined
  #acceptedDigests = new Set<string>()
  #evacuated = new Set<string>()
  #evacuationRevision = 0

  /** The plan in force with its document, undefined before the first plan. */
  get current (): PlanSubmission | undefined {
    return this.#current
  }

  get plan (): RoutingPlan | undefined {
    return this.#current?.plan
  }

  /** Failure domains whose upstreams get no new work. */
  get evacuated (): string[] {
    return [...this.#evacuated]
  }

  /** Increases with each change of the evacuations. */
  get evacuationRevision (): number {
    return this.#evacuationRevision
  }

  /**
   * Applies a committed entry.
   *
   * @param entry - an entry of the log of plans
   * @param index - its position in the log
   */
  apply (entry: PlanEntry, index: number): PlanResult {
    if (entry.kind === PlanEntryKind.Submit) return this.#submit(entry.submission)
    if (entry.kind === PlanEntryKind.Barrier) return PlanResult.Accepted
    return this.#setEvacuated(entry, index)
  }

  snapshot (): StoredPlanState {
    const { current, evacuated, evacuationRevision } = this
    return { current, accepted: [...this.#acceptedDigests], evacuated, evacuationRevision }
  }

  /** @param stored - result of {@link snapshot}, undefined before the first entry */
  restore (stored: StoredPlanState | undefined): void {
    this.#current = stored?.current
    this.#acceptedDigests = new Set(stored?.accepted)
    this.#evacuated = new Set(stored?.evacuated)
    this.#evacuationRevision = stored?.evacuationRevision ?? 0
  }

  #submit (submission: PlanSubmission): PlanResult {
    if (this.#acceptedDigests.has(submission.digest)) return PlanResult.Accepted
    const version = this.#current?.plan.version ?? 0
    if (submission.baseVersion !== version) return PlanResult.OtherBase
    if (submission.plan.version <= version) return PlanResult.OldVersion
    this.#current = submission
    this.#recordAccepted(submission.digest)
    return PlanResult.Accepted
  }

  #recordAccepted (digest: string): void {
    this.#acceptedDigests.add(digest)
    if (this.#acceptedDigests.size <= MAXIMUM_RETAINED_SUBMISSIONS) return
    const [oldest] = this.#acceptedDigests
    this.#acceptedDigests.delete(oldest!)
  }

  /** An order on a revision that is no longer the newest changes nothing: its caller may have been answered elsewhere, and others ordered since. */
  #setEvacuated ({ kind, domain, baseRevision = this.#evacuationRevision }: EvacuationEntry, index: number): PlanResult {
    const isEvacuated = kind === PlanEntryKind.Evacuate
    if (this.#evacuated.has(domain) !== isEvacuated && baseRevision !== this.#evacuationRevision) return PlanResult.OtherBase
    if (isEvacuated) this.#evacuated.add(domain)
    else this.#evacuated.delete(domain)
    this.#evacuationRevision = index
    return PlanResult.Accepted
  }
}
