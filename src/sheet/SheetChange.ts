import type { SheetRecord } from './SheetRecord.js'

/** Kinds of changes between two sheets. */
export enum SheetChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed'
}

/** One difference between two sheets. */
export interface SheetChange {
  kind: SheetChangeKind
  record: SheetRecord
  /** Key of the record among its kind, such as `reservas at gijon` or a guest block. */
  subject: string
  /** Content in the previous sheet, absent for an added record. */
  before?: string
  /** Content in the new sheet, absent for a removed record. */
  after?: string
}
