import { SheetColumn } from './SheetColumn.js'
import type { SheetHeader } from './SheetHeader.js'

/** One row of a sheet, below the header row. */
export class SheetRow {
  readonly line: number
  readonly #header: SheetHeader
  readonly #cells: string[]

  /**
   * @param line - line of the file on which the row starts, from 1
   * @param header - the sheet's header
   * @param cells - content of the cells, in the order of the header
   */
  constructor (line: number, header: SheetHeader, cells: string[]) {
    this.line = line
    this.#header = header
    this.#cells = cells
  }

  /**
   * Reads one cell.
   *
   * @param column - column of the cell
   * @returns content of the cell, empty when the row or the header lacks it
   */
  read (column: SheetColumn): string {
    const index = this.#header.indexOf(column)
    return index === undefined ? '' : this.#cells[index] ?? ''
  }

  /**
   * @param column - a column
   * @returns position of the column in the table, from 1
   */
  positionOf (column: SheetColumn): number {
    return (this.#header.indexOf(column) ?? 0) + 1
  }
}
