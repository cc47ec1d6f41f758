import { SheetColumn } from './SheetColumn.js'
import type { SheetFault } from './SheetFault.js'
import type { SheetProblem } from './SheetProblem.js'
import type { SheetRow } from './SheetRow.js'

/** Collects the faults of one sheet. */
export class FaultList {
  readonly #faults: SheetFault[] = []

  /** Number of faults collected so far. */
  get size (): number {
    return this.#faults.length
  }

  /**
   * Adds a fault of one cell, with the line, column and content of the cell.
   *
   * @param row - row of the cell
   * @param column - the cell's column
   * @param problem - kind of the fault
   * @param allowed - description of the allowed content
   */
  addCellFault (row: SheetRow, column: SheetColumn, problem: SheetProblem, allowed: string): void {
    this.add({ line: row.line, column: row.positionOf(column), field: column, problem, found: row.read(column), allowed })
  }

  /** Adds a fault of a cell, a row or the file. */
  add (fault: SheetFault): void {
    this.#faults.push(fault)
  }

  /** @returns all faults, sorted by line and column */
  listSorted (): SheetFault[] {
    return [...this.#faults].sort((left, right) => left.line - right.line || left.column - right.column)
  }
}
