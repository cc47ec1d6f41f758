import type { FaultList } from './FaultList.js'
import { formatGuestBlock } from './formatGuestBlock.js'
import type { GuestBlock } from './GuestBlock.js'
import { parseGuestBlock } from './parseGuestBlock.js'
import type { SheetColumn } from './SheetColumn.js'
import { SheetProblem } from './SheetProblem.js'
import type { SheetRow } from './SheetRow.js'
import { maskWord } from './maskWord.js'
import { parseAddress } from './parseAddress.js'

const NAME_PATTERN = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/
const WHOLE_NUMBER_PATTERN = /^(?:0|[1-9]\d{0,14})$/

/** Reads the cells of one row as typed values. Each method adds a fault and returns undefined when its cell is invalid. */
export class CellReader {
  readonly row: SheetRow
  readonly faults: FaultList

  /**
   * @param row - the row to read
   * @param faults - list to which the faults are added
   */
  constructor (row: SheetRow, faults: FaultList) {
    this.row = row
    this.faults = faults
  }

  /**
   * Reads a name.
   *
   * @param column - the cell's column
   * @param alternative - text that is accepted besides names, if any
   * @returns the name or the alternative, undefined when the cell is invalid
   */
  readName (column: SheetColumn, alternative?: string): string | undefined {
    const text = this.row.read(column)
    if (NAME_PATTERN.test(text) || (alternative !== undefined && text === alternative)) return text
    const description = 'lower-case letters, digits and inner hyphens, at most 63'
    return this.#reject(column, SheetProblem.InvalidName, alternative === undefined ? description : `${description}; or ${alternative}`)
  }

  /**
   * Reads one of the values of an enum.
   *
   * @param column - the cell's column
   * @param values - the accepted values
   * @returns the value, undefined when the cell is invalid
   */
  readChoice<Value extends string> (column: SheetColumn, values: Value[]): Value | undefined {
    const text = this.row.read(column)
    return values.find((value) => value === text) ?? this.#reject(column, SheetProblem.InvalidChoice, values.join(', '))
  }

  /**
   * Reads a whole number.
   *
   * @param column - the cell's column
   * @param minimum - smallest accepted value
   * @param maximum - largest accepted value
   * @returns the number, undefined when the cell is invalid
   */
  readWholeNumber (column: SheetColumn, minimum: number, maximum: number): number | undefined {
    const text = this.row.read(column)
    const allowedRange = `${minimum} to ${maximum}`
    if (!WHOLE_NUMBER_PATTERN.test(text)) return this.#reject(column, SheetProblem.InvalidNumber, `${allowedRange}, digits only, no leading zero`)
    const value = Number(text)
    return value >= minimum && value <= maximum ? value : this.#reject(column, SheetProblem.NumberOutOfRange, allowedRange)
  }

  /**
   * Reads a guest block.
   *
   * @param column - the cell's column
   * @returns the block, undefined when the cell is invalid
   */
  readGuestBlock (column: SheetColumn): GuestBlock | undefined {
    const text = this.row.read(column)
    const block = parseGuestBlock(text)
    if (typeof block === 'object') return block
    const allowedBlock = block === SheetProblem.HostBitsSet ? formatMaskedBlock(text) : 'address/length, such as 192.0.2.0/24 or 2001:db8::/32'
    return this.#reject(column, block, allowedBlock)
  }

  #reject (column: SheetColumn, problem: SheetProblem, allowed: string): undefined {
    this.faults.addCellFault(this.row, column, this.row.read(column) === '' ? SheetProblem.EmptyCell : problem, allowed)
    return undefined
  }
}

function formatMaskedBlock (text: string): string {
  const [addressText, lengthText] = text.split('/')
  const address = parseAddress(addressText!)!
  const length = Number(lengthText)
  return formatGuestBlock({ ...address, length, words: address.words.map((word, index) => maskWord(word, index, length)) })
}
