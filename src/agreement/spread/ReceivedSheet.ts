import type { SheetDelta } from './SheetDelta.js'
import type { StoredSheet } from './StoredSheet.js'

/** A sheet fetched from another host. */
export interface ReceivedSheet {
  stored: StoredSheet
  /** Content that is already checked against the sheet's digest; if absent, it must be unpacked and checked. */
  content?: string
  /** Deltas by which the sheet was received, if any. */
  deltas?: SheetDelta[]
}
