import { SheetColumn } from './SheetColumn.js'

/** Where each column of a sheet stands. */
export class SheetHeader {
  readonly #indexesByName = new Map<string, number>()
  readonly columnCount: number

  /** @param columnNames - cells of the header row */
  constructor (columnNames: string[]) {
    this.columnCount = columnNames.length
    for (const [index, name] of columnNames.entries()) this.#indexesByName.set(name, index)
  }

  /**
   * @param column - a column
   * @returns its index from 0, undefined when the header lacks it
   */
  indexOf (column: SheetColumn): number | undefined {
    return this.#indexesByName.get(column)
  }
}
