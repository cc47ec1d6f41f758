import type { AcceptedSheet } from '../sheets/AcceptedSheet.js'
import type { SheetDelta } from './SheetDelta.js'

/** Answer to {@link FetchRequest}. */
export interface FetchReply {
  /** The sheet in force; undefined before the first. */
  sheet?: AcceptedSheet
  /** Part of the packed content: gzip, in base64. */
  data: string
  /** Length of the full packed content in characters. */
  totalCharacters: number
  /** Deltas from the caller's base to the sheet, sent in place of the data; absent when they are unknown or too long. */
  deltas?: SheetDelta[]
}
