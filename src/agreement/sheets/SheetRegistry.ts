import type { AcceptedSheet } from './AcceptedSheet.js'
import { unpackContent } from './packContent.js'
import type { SheetInForce } from './SheetInForce.js'
import type { SheetState } from './SheetState.js'
import type { SheetSubmission } from './SheetSubmission.js'
import type { SheetSubmitter } from './SheetSubmitter.js'
import type { SubmitAnswer } from './SubmitAnswer.js'

/** Called with each newly accepted sheet that this replica applies; a sheet may be skipped in favour of a newer one. */
export type SheetListener = (sheet: SheetInForce) => void

/** The accepted sheets, as known to one replica. */
export class SheetRegistry {
  readonly #state: SheetState
  readonly #submitter: SheetSubmitter
  readonly #listeners = new Set<SheetListener>()
  #current: SheetInForce | undefined
  #announcedRevision = 0

  /**
   * @param state - the state machine on the replicated log
   * @param submitter - proposes submissions to the log
   */
  constructor (state: SheetState, submitter: SheetSubmitter) {
    this.#state = state
    this.#submitter = submitter
  }

  /**
   * Submits a sheet. If this replica already knows the decision on its number, it answers at once, since decisions are final;
   * only a new number is proposed to the log.
   *
   * @param submission - number, digest, content and operator of the sheet
   * @returns whether the sheet was accepted, or the reason
   * @throws {@link ReplicaRefusedError} when the number of an undecided sheet is no positive integer, or its digest does not match
   */
  async submit (submission: SheetSubmission): Promise<SubmitAnswer> {
    const decision = this.#state.findDecision(submission.number, submission.digest)
    if (decision === undefined) return this.#submitter.submit(submission)
    this.#submitter.report(submission, decision)
    return decision
  }

  /** @returns the newest accepted sheet known to this replica, undefined before the first */
  current (): SheetInForce | undefined {
    const accepted = this.#state.current
    if (accepted === undefined || accepted.revision === this.#current?.revision) return this.#current
    const content = this.content(accepted.revision)
    if (content !== undefined) this.#current = { ...accepted, content }
    return this.#current
  }

  /** @returns the recently accepted sheets, oldest first */
  history (): readonly AcceptedSheet[] {
    return this.#state.listAccepted()
  }

  /**
   * @param revision - revision of an accepted sheet
   * @returns its content, undefined when it is no longer retained
   */
  content (revision: number): string | undefined {
    const packed = this.#state.findPackedContent(revision)
    return packed === undefined ? undefined : unpackContent(packed)
  }

  /**
   * Calls a listener with each newly accepted sheet.
   *
   * @param listener - called after the sheet is accepted
   * @returns function that removes the listener
   */
  onAccepted (listener: SheetListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Notifies the listeners of the newest sheet, after all entries that are being applied at the moment. */
  announce (): void {
    queueMicrotask(() => this.#notifyListeners())
  }

  #notifyListeners (): void {
    const revision = this.#state.current?.revision ?? 0
    if (revision <= this.#announcedRevision) return
    this.#announcedRevision = revision
    const sheet = this.current()
    if (sheet === undefined) return
    for (const listener of this.#listeners) listener(sheet)
  }
}
