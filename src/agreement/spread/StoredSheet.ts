import type { AcceptedSheet } from '../sheets/AcceptedSheet.js'

/** A sheet with its packed content, as stored and sent. */
export interface StoredSheet {
  sheet: AcceptedSheet
  /** Content compressed with gzip, in base64. */
  packedContent: string
}
