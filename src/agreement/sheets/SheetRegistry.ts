import type { AcceptedSheet } from './AcceptedSheet.js'
import { unpackContent } from './packContent.js'
import type { SheetInForce } from './SheetInForce.js'
import type { SheetState } from './SheetState.js'
import type { SheetSubmission } from './SheetSubmission.js'
import type { SheetSubmitter } from './SheetSubmitter.js'
import type { SubmitAnswer } from './SubmitAnswer.js'

/** Called with each newly accepted sheet that this replica learns of; some may be passed over for a newer one. */
export type SheetListener = (sheet: SheetInForce) => void

/** The accepted sheets, as one replica knows them. */
export class SheetRegistry {
  readonly #state: SheetState
  readonly #submitter: SheetSubmitter
  readonly #listeners = new Set<SheetListener>()
  #current: SheetInForce | undefined
  #announcedRevision = 0

  /**
   * @param state - the state machine on the replicated log
   * @param submitter - carries submissions to the log
   */
  constructor (state: SheetState, submitter: SheetSubmitter) {
    this.#state = state
    this.#submitter = submitter
  }

  /**
   * Submits a sheet. What this replica knows to be decided is answered at once, since decisions are final;
   * only a new number goes to the log.
   *
   * @param submission - the sheet
   * @returns what it came to
   */
  async submit (submission: SheetSubmission): Promise<SubmitAnswer> {
    const decision = this.#state.findDecision(submission.number, submission.digest)
    if (decision === undefined) return this.#submitter.submit(submission)
    this.#submitter.report(submission, decision)
    return decision
  }

  /** @returns the newest sheet that this replica knows to be accepted */
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
   * @param revision - a revision
   * @returns its content, undefined when it is no longer kept
   */
  content (revision: number): string | undefined {
    const packed = this.#state.findPackedContent(revision)
    return packed === undefined ? undefined : unpackContent(packed)
  }

  /**
   * Calls a listener with each newly accepted sheet.
   *
   * @param listener - called after the sheet is accepted
   * @returns ends the calls
   */
  onAccepted (listener: SheetListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Tells the listeners of the newest sheet, once all entries that are being applied are. */
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
