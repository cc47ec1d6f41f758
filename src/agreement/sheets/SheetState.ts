import { AcceptedSheetArchive } from './AcceptedSheetArchive.js'
import type { AcceptedSheet } from './AcceptedSheet.js'
import type { SheetEntry } from './SheetEntry.js'
import { SheetEntryKind } from './SheetEntryKind.js'
import { defaultSheetLimits, type SheetLimits } from './SheetLimits.js'
import type { StoredSheets } from './StoredSheets.js'
import type { SubmitAnswer } from './SubmitAnswer.js'
import { SubmitResult } from './SubmitResult.js'

/** Gap between a recovered revision and the next one, so that a lost revision is never assigned again. */
export const RECOVERY_REVISION_GAP = 1_000_000

/**
 * State machine of the accepted sheets, changed only by log entries.
 * Every decision on a submission is made here and is final: accepted numbers and revisions always increase.
 */
export class SheetState {
  readonly #limits: SheetLimits
  readonly #archive: AcceptedSheetArchive
  readonly #contents = new Map<number, string>()
  #listed: AcceptedSheet[] = []
  #nextRevision = 1

  /** @param limits - limits on the retained sheets; the same on every replica */
  constructor (limits: SheetLimits = defaultSheetLimits) {
    this.#limits = limits
    this.#archive = new AcceptedSheetArchive(limits.rememberedSheets)
  }

  /** The newest accepted sheet, undefined before the first. */
  get current (): AcceptedSheet | undefined {
    return this.#listed.at(-1)
  }

  /** Applies a log entry. */
  apply (entry: SheetEntry): SubmitAnswer {
    if (entry.kind === SheetEntryKind.Recover) return this.#recover(entry)
    return this.findDecision(entry.number, entry.digest) ?? this.#accept(entry, this.#nextRevision)
  }

  /**
   * @param number - number of a sheet
   * @param digest - its digest
   * @returns answer to a submission of that sheet, undefined if it would be accepted
   */
  findDecision (number: number, digest: string): SubmitAnswer | undefined {
    const current = this.current
    if (current === undefined || number > current.number) return undefined
    const accepted = this.#findAccepted(number)
    if (accepted?.digest === digest) return { result: SubmitResult.AcceptedBefore, accepted }
    if (accepted !== undefined) return { result: SubmitResult.Conflict, accepted }
    const result = this.#archive.mayHaveEvicted(number) ? SubmitResult.Forgotten : SubmitResult.Stale
    return { result, currentNumber: current.number }
  }

  /** @returns the recently accepted sheets, oldest first */
  listAccepted (): readonly AcceptedSheet[] {
    return this.#listed
  }

  /**
   * @param revision - revision of an accepted sheet
   * @returns its packed content, undefined when it is not retained
   */
  findPackedContent (revision: number): string | undefined {
    return this.#contents.get(revision)
  }

  /** @returns the state as a JSON value */
  snapshot (): StoredSheets {
    return {
      archive: this.#archive.toJSON(),
      contents: [...this.#contents].map(([revision, packedContent]) => ({ revision, packedContent })),
      listed: [...this.#listed],
      nextRevision: this.#nextRevision
    }
  }

  /** Replaces the state by that of a snapshot; undefined stands for the state before the first entry. */
  restore (stored: StoredSheets | undefined): void {
    this.#contents.clear()
    this.#listed = [...(stored?.listed ?? [])]
    this.#nextRevision = stored?.nextRevision ?? 1
    this.#archive.restore(stored?.archive ?? { records: '', dropped: false })
    for (const { revision, packedContent } of stored?.contents ?? []) this.#contents.set(revision, packedContent)
  }

  #findAccepted (number: number): AcceptedSheet | undefined {
    const archived = this.#archive.find(number)
    if (archived === undefined) return undefined
    return this.#listed.find((sheet) => sheet.revision === archived.revision) ?? archived
  }

  #accept (entry: SheetEntry, revision: number): SubmitAnswer {
    const { number, digest, operator, submittedAt: acceptedAt } = entry
    const accepted = { number, digest, revision, acceptedAt, operator }
    this.#nextRevision = revision + 1
    this.#archive.add(accepted)
    this.#listed.push(accepted)
    if (this.#listed.length > this.#limits.listedSheets) this.#listed.shift()
    this.#contents.set(revision, entry.packedContent)
    this.#evictContents()
    return { result: SubmitResult.Accepted, accepted }
  }

  #recover (entry: SheetEntry): SubmitAnswer {
    const revision = entry.revision ?? 0
    const isNewer = revision > (this.current?.revision ?? 0) && entry.number > (this.current?.number ?? 0)
    const answer = isNewer ? this.#accept(entry, revision) : this.findDecision(entry.number, entry.digest)
    this.#nextRevision += RECOVERY_REVISION_GAP
    return answer ?? { result: SubmitResult.Stale, currentNumber: this.current?.number }
  }

  #evictContents (): void {
    const newestFirst = [...this.#contents].reverse()
    let bytes = 0
    newestFirst.forEach(([revision, content], age) => {
      if (age === 0) return
      bytes += content.length
      if (age >= this.#limits.keptContents || bytes > this.#limits.keptContentBytes) this.#contents.delete(revision)
    })
  }
}
