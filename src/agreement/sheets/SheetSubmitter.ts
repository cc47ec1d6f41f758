import { ReplicaRefusedError } from '../../errors/ReplicaRefusedError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import type { Counters } from '../../observe/Counters.js'
import type { Log } from '../../observe/Log.js'
import { Step } from '../../types/Step.js'
import type { ProposalAnswer } from '../ProposalAnswer.js'
import { ProposalOutcome } from '../ProposalOutcome.js'
import { ReplicaRefusalReason } from '../ReplicaRefusalReason.js'
import { pause } from '../../utils/pause.js'
import { digestOf } from './digestOf.js'
import { packContent } from './packContent.js'
import { SheetCounter } from './SheetCounter.js'
import type { SheetEntry } from './SheetEntry.js'
import { SheetEntryKind } from './SheetEntryKind.js'
import type { SheetSubmission } from './SheetSubmission.js'
import type { SubmitAnswer } from './SubmitAnswer.js'
import { SubmitResult } from './SubmitResult.js'

const SUBMIT_TIMEOUT_MILLISECONDS = 8_000
const RETRY_DELAY_MILLISECONDS = 200

const countersByResult: Record<SubmitResult, SheetCounter> = {
  [SubmitResult.Accepted]: SheetCounter.Accepted,
  [SubmitResult.AcceptedBefore]: SheetCounter.AcceptedBefore,
  [SubmitResult.Conflict]: SheetCounter.Conflict,
  [SubmitResult.Stale]: SheetCounter.Stale,
  [SubmitResult.Forgotten]: SheetCounter.Forgotten,
  [SubmitResult.NoQuorum]: SheetCounter.NoQuorum
}

/** Options of a {@link SheetSubmitter}. */
export interface SheetSubmitterOptions {
  /** Proposes an entry to the replicated log. */
  propose: (entry: SheetEntry) => Promise<ProposalAnswer<SubmitAnswer>>
  /** Compresses a content, by default with {@link packContent}. */
  pack?: (content: string) => Promise<string>
  log: Log
  counters: Counters
  /** Time in milliseconds within which a submission is retried. */
  submitMilliseconds?: number
}

/** Proposes submissions to the replicated log. Submissions are idempotent, so they are retried until they are decided or time out. */
export class SheetSubmitter {
  readonly #options: SheetSubmitterOptions

  /** @param options - access to the log, compression, counters and timeout */
  constructor (options: SheetSubmitterOptions) {
    this.#options = options
    for (const counter of Object.values(SheetCounter)) options.counters.declare(counter)
  }

  /**
   * @param submission - number, digest, content and operator of the sheet
   * @returns whether the sheet was accepted, or the reason
   * @throws {@link ReplicaRefusedError} when the number is no positive integer, or the content does not have the given digest
   */
  async submit (submission: SheetSubmission): Promise<SubmitAnswer> {
    const { number, digest, content, operator } = submission
    if (!Number.isSafeInteger(number) || number < 1) throw new ReplicaRefusedError(errorTexts.sheetNumberInvalid(number), Step.SheetSubmit, operator)
    if (digestOf(content) !== digest) throw new ReplicaRefusedError(errorTexts.sheetDigestMismatch(number), Step.SheetSubmit, operator)
    const packedContent = await (this.#options.pack ?? packContent)(content)
    const answer = await this.#proposeUntilSettled({ kind: SheetEntryKind.Submit, number, digest, operator, submittedAt: Date.now(), packedContent })
    this.report(submission, answer)
    return answer
  }

  /** Counts and logs an answer. */
  report ({ number, digest, operator }: SheetSubmission, answer: SubmitAnswer): void {
    this.#options.counters.increment(countersByResult[answer.result])
    const { result, reason, accepted } = answer
    this.#options.log.info('sheet-submitted', { step: Step.SheetSubmit, number, digest, operator, result, reason, revision: accepted?.revision })
  }

  async #proposeUntilSettled (entry: SheetEntry): Promise<SubmitAnswer> {
    const deadline = performance.now() + (this.#options.submitMilliseconds ?? SUBMIT_TIMEOUT_MILLISECONDS)
    let outcomeUnknown = false
    for (;;) {
      const answer = await this.#options.propose(entry)
      if (answer.result !== undefined) return restoreFirstAnswer(answer.result, entry)
      outcomeUnknown ||= answer.outcome === ProposalOutcome.Unknown
      const { reason } = answer
      if (isFinal(reason) || performance.now() + RETRY_DELAY_MILLISECONDS >= deadline) return { result: SubmitResult.NoQuorum, outcomeUnknown, reason }
      this.#options.counters.increment(SheetCounter.Retried)
      await pause(RETRY_DELAY_MILLISECONDS)
    }
  }
}

/** Answers as accepted when the sheet was accepted by an earlier attempt of the same submission. */
function restoreFirstAnswer (answer: SubmitAnswer, { operator, submittedAt }: SheetEntry): SubmitAnswer {
  const isSameSubmission = answer.accepted?.operator === operator && answer.accepted.acceptedAt === submittedAt
  return answer.result === SubmitResult.AcceptedBefore && isSameSubmission ? { ...answer, result: SubmitResult.Accepted } : answer
}

function isFinal (reason: ReplicaRefusalReason | undefined): boolean {
  return reason === ReplicaRefusalReason.Empty || reason === ReplicaRefusalReason.Stopped
}
