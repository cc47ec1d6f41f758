import { SheetColumn } from './SheetColumn.js'

/** Header row of a sheet: maps each column to its position. */
export class SheetHeader {
  readonly #indexesByName = new Map<string, number>()
  readonly columnCount: number

  /** @param columnNames - cells of the header row */
  constructor (columnNames: string[]) {
    this.columnCount = columnNames.length
    for (const [index, name] of columnNames.entries()) this.#indexesByName.set(name, index)
  }

  /**
   * @param column - column to look up
   * @returns its index from 0, undefined when the header lacks it
   */
  indexOf (column: SheetColumn): number | undefined {
    return this.#indexesByName.get(column)
  }
}
