import type { AcceptedSheet } from './AcceptedSheet.js'

/** The accepted sheets, as stored in a snapshot. */
export interface StoredSheets {
  /** Packed records of the archived sheets, in base64, and whether older ones were evicted. */
  archive: { records: string, dropped: boolean }
  contents: Array<{ revision: number, packedContent: string }>
  listed: AcceptedSheet[]
  nextRevision: number
}
