import { ProposalOutcome } from '../agreement/ProposalOutcome.js'
import type { ProposalAnswer } from '../agreement/ProposalAnswer.js'
import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { checkPlan } from './checkPlan.js'
import { PlanEntryKind, type PlanEntry, type PlanSubmission } from './PlanEntry.js'
import type { PlanFault } from './PlanFault.js'
import { PlanResult } from './PlanResult.js'
import type { PlanState } from './PlanState.js'

/** Answer to a submitted plan. */
export interface PlanAnswer {
  result: PlanResult
  /** Faults of the plan; empty unless it is invalid. */
  faults: PlanFault[]
}

/** Dependencies of a plan registry. */
export interface PlanRegistryOptions {
  state: PlanState
  propose: (entry: PlanEntry) => Promise<ProposalAnswer<PlanResult>>
  /** Waits until this replica has applied an entry; resolves to false when that takes too long. */
  waitApplied: (index: number) => Promise<boolean>
  log: Log
}

/** Submits operators' plans and evacuations to the replicas, and reads the plan in force. */
export class PlanRegistry {
  readonly #options: PlanRegistryOptions

  /** @param options - replicated state, and the function that proposes entries to it */
  constructor (options: PlanRegistryOptions) {
    this.#options = options
  }

  /**
   * Submits a plan. A plan that is not accepted never comes into force, unless the result is unknown.
   *
   * @returns the result, and the faults of an invalid plan
   */
  async submit (submission: PlanSubmission): Promise<PlanAnswer> {
    const faults = checkPlan(submission.plan)
    const result = faults.length > 0 ? PlanResult.Invalid : await this.#proposeOrder({ kind: PlanEntryKind.Submit, submission })
    const { version } = submission.plan
    this.#options.log.info('plan-submitted', { step: Step.PlanSubmit, version, base: submission.baseVersion, result, fault: faults[0]?.problem })
    return { result, faults }
  }

  /** Stops new work for the upstreams of a failure domain, or allows it again. */
  async evacuate (domain: string, isEvacuated: boolean): Promise<PlanResult> {
    const kind = isEvacuated ? PlanEntryKind.Evacuate : PlanEntryKind.Return
    const result = await this.#proposeOrder({ kind, domain })
    this.#options.log.info('evacuation-ordered', { step: Step.PlanSubmit, domain, evacuated: isEvacuated, result })
    return result
  }

  /** @returns the newest accepted plan, undefined when this replica cannot determine it */
  async read (): Promise<{ current: PlanSubmission | undefined } | undefined> {
    const answer = await this.#options.propose({ kind: PlanEntryKind.Barrier })
    if (answer.index === undefined || !await this.#options.waitApplied(answer.index)) return undefined
    return { current: this.#options.state.current }
  }

  async #proposeOrder (entry: PlanEntry): Promise<PlanResult> {
    const answer = await this.#options.propose(entry)
    if (answer.outcome === ProposalOutcome.Committed) return answer.result ?? PlanResult.Unknown
    this.#options.log.warn('order-undecided', { step: Step.PlanSubmit, kind: entry.kind, outcome: answer.outcome, reason: answer.reason })
    return PlanResult.Unknown
  }
}
