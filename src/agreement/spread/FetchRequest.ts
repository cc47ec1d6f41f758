import type { DeltaBase } from './SheetDelta.js'

/** Requests a part of the sheet in force, or the changes since an earlier one. */
export interface FetchRequest {
  /** Offset of the part in the packed content, in characters. */
  offset: number
  /** Sheet that the caller has; the answer may then hold deltas from it. */
  base?: DeltaBase
}
