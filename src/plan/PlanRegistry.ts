import { ProposalOutcome } from '../agreement/ProposalOutcome.js'
import type { ProposalAnswer } from '../agreement/ProposalAnswer.js'
import type { Log } from '../observe/Log.js'
import type { IsCallerWaiting } from '../types/IsCallerWaiting.js'
import { Step } from '../types/Step.js'
import { getElapsedMilliseconds, readClocks, type ClockReading } from '../utils/ClockReading.js'
import { pause } from '../utils/pause.js'
import { checkPlan } from './checkPlan.js'
import { PlanEntryKind, type EvacuationEntry, type PlanEntry, type PlanSubmission } from './PlanEntry.js'
import { computeSettleTime, isOrderExpired } from './orderTimes.js'
import type { PlanFault } from './PlanFault.js'
import { PlanResult } from './PlanResult.js'
import type { PlanState } from './PlanState.js'

/** Number of times that an order is based on newer evacuations, when others are ordered at the same time. */
const MAXIMUM_EVACUATION_ATTEMPTS = 8

const alwaysWaiting: IsCallerWaiting = async () => true

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
   * @param submission - the plan and its document
   * @param isCallerWaiting - whether the operator still waits for the answer; otherwise nothing is submitted
   * @returns the result, and the faults of an invalid plan
   */
  async submit (submission: PlanSubmission, isCallerWaiting: IsCallerWaiting = alwaysWaiting): Promise<PlanAnswer> {
    const faults = checkPlan(submission.plan)
    const result = faults.length > 0 ? PlanResult.Invalid : await this.#submitValid(submission, isCallerWaiting)
    const { version } = submission.plan
    this.#options.log.info('plan-submitted', { step: Step.PlanSubmit, version, base: submission.baseVersion, result, fault: faults[0]?.problem })
    return { result, faults }
  }

  /**
   * Stops new work for the upstreams of a failure domain, or allows it again. The order is based on the evacuations that this
   * host knows, and on a caller that waits for it after that, so a host that was frozen or cut off carries out no order whose
   * caller has been answered by another host in the meantime. An order that changes the evacuations waits for the end of its
   * caller's connection, which comes behind an order that was held up on the way.
   *
   * @param domain - failure domain
   * @param isEvacuated - whether its upstreams get no new work from now on
   * @param isCallerWaiting - whether the operator still waits for the answer
   */
  async evacuate (domain: string, isEvacuated: boolean, isCallerWaiting: IsCallerWaiting = alwaysWaiting): Promise<PlanResult> {
    const kind = isEvacuated ? PlanEntryKind.Evacuate : PlanEntryKind.Return
    const arrivedAt = readClocks()
    let result = PlanResult.OtherBase
    for (let attempt = 0; attempt < MAXIMUM_EVACUATION_ATTEMPTS && result === PlanResult.OtherBase; attempt += 1) {
      result = await this.#evacuateOnce({ kind, domain }, arrivedAt, isCallerWaiting)
    }
    this.#options.log.info('evacuation-ordered', { step: Step.PlanSubmit, domain, evacuated: isEvacuated, result, age: Math.round(getElapsedMilliseconds(arrivedAt)) })
    return result
  }

  /** @returns the newest accepted plan, undefined when this replica cannot determine it */
  async read (): Promise<{ current: PlanSubmission | undefined } | undefined> {
    const answer = await this.#options.propose({ kind: PlanEntryKind.Barrier })
    if (answer.index === undefined || !await this.#options.waitApplied(answer.index)) return undefined
    return { current: this.#options.state.current }
  }

  async #submitValid (submission: PlanSubmission, isCallerWaiting: IsCallerWaiting): Promise<PlanResult> {
    if (!await isCallerWaiting()) return PlanResult.Abandoned
    return (await this.#proposeOrder({ kind: PlanEntryKind.Submit, submission })).result
  }

  async #evacuateOnce (order: Pick<EvacuationEntry, 'kind' | 'domain'>, arrivedAt: ClockReading, isCallerWaiting: IsCallerWaiting): Promise<PlanResult> {
    const settleTime = computeSettleTime(getElapsedMilliseconds(arrivedAt), this.#isChange(order))
    if (settleTime > 0) await pause(settleTime)
    // The revision is read before the caller is checked: an order that another host has accepted since makes it an old one.
    const baseRevision = this.#options.state.evacuationRevision
    if (!await isCallerWaiting() || isOrderExpired(getElapsedMilliseconds(arrivedAt))) return PlanResult.Abandoned
    const { result, index } = await this.#proposeOrder({ ...order, baseRevision })
    if (result === PlanResult.OtherBase && index !== undefined && !await this.#options.waitApplied(index)) return PlanResult.Unknown
    return result
  }

  #isChange ({ kind, domain }: Pick<EvacuationEntry, 'kind' | 'domain'>): boolean {
    return this.#options.state.evacuated.includes(domain) !== (kind === PlanEntryKind.Evacuate)
  }

  async #proposeOrder (entry: PlanEntry): Promise<{ result: PlanResult, index?: number }> {
    const { outcome, reason, result = PlanResult.Unknown, index } = await this.#options.propose(entry)
    if (outcome === ProposalOutcome.Committed) return { result, index }
    this.#options.log.warn('order-undecided', { step: Step.PlanSubmit, kind: entry.kind, outcome, reason })
    return { result: PlanResult.Unknown }
  }
}
