import type { Sheet } from '../types/Sheet.js'
import type { PrefixGuestBlockTable } from './PrefixGuestBlockTable.js'

/** A valid sheet whose guest blocks can be listed. */
export interface CheckedSheet extends Sheet {
  guestBlocks: PrefixGuestBlockTable
}
