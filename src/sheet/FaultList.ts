import { SheetColumn } from './SheetColumn.js'
import type { SheetFault } from './SheetFault.js'
import type { SheetProblem } from './SheetProblem.js'
import type { SheetRow } from './SheetRow.js'

/** Collects the faults of one sheet. */
export class FaultList {
  readonly #faults: SheetFault[] = []

  /** @returns how many faults there are */
  get size (): number {
    return this.#faults.length
  }

  /**
   * Adds a fault of one cell.
   *
   * @param row - the row
   * @param column - the cell's column
   * @param problem - what is wrong
   * @param allowed - what may stand there
   */
  addCellFault (row: SheetRow, column: SheetColumn, problem: SheetProblem, allowed: string): void {
    this.add({ line: row.line, column: row.positionOf(column), field: column, problem, found: row.read(column), allowed })
  }

  /** Adds any fault. */
  add (fault: SheetFault): void {
    this.#faults.push(fault)
  }

  /** @returns all faults by line and column */
  listSorted (): SheetFault[] {
    return [...this.#faults].sort((left, right) => left.line - right.line || left.column - right.column)
  }
}
