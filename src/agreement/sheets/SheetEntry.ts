import type { SheetEntryKind } from './SheetEntryKind.js'

/** A value of the replicated log: a submitted or recovered sheet. */
export interface SheetEntry {
  kind: SheetEntryKind
  number: number
  digest: string
  operator: string
  /** Wall-clock time of the submission at the submitting host, in milliseconds since 1970. */
  submittedAt: number
  /** Content compressed with gzip, in base64. */
  packedContent: string
  /** Revision under which the sheet was accepted, with {@link SheetEntryKind.Recover}. */
  revision?: number
}
