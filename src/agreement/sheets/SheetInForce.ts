import type { AcceptedSheet } from './AcceptedSheet.js'

/** An accepted sheet with its content. */
export interface SheetInForce extends AcceptedSheet {
  content: string
}
