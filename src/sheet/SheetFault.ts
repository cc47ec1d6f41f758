import type { SheetProblem } from './SheetProblem.js'

/** One fault of a sheet, with its position and the allowed content. */
export interface SheetFault {
  /** Line of the file, from 1. */
  line: number
  /** Column of the table, from 1. */
  column: number
  /** Name of that column in the header; empty when the fault concerns a whole row or the file. */
  field: string
  problem: SheetProblem
  /** Invalid content or a description of it; empty when something is missing. */
  found: string
  /** Allowed content, or the missing item that must be added. */
  allowed: string
}
