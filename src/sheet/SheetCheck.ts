import type { CheckedSheet } from './CheckedSheet.js'
import type { SheetFault } from './SheetFault.js'

/** Result of parsing and checking a sheet: either the sheet, or all faults found in it. */
export interface SheetCheck {
  /** The valid sheet; absent when there are faults. */
  sheet?: CheckedSheet
  /** Faults, sorted by line and column; empty when the sheet is valid. */
  faults: SheetFault[]
}
