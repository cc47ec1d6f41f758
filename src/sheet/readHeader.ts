import type { FaultList } from './FaultList.js'
import { SheetColumn } from './SheetColumn.js'
import { SheetHeader } from './SheetHeader.js'
import { SheetProblem } from './SheetProblem.js'

const COLUMNS: string[] = Object.values(SheetColumn)

/**
 * Checks the header row: each column once, in any order, and no other.
 *
 * @param line - line of the row
 * @param columnNames - its cells
 * @param faults - receives what is wrong
 * @returns the header, undefined when it has a fault
 */
export function readHeader (line: number, columnNames: string[], faults: FaultList): SheetHeader | undefined {
  const previousFaultCount = faults.size
  const addFault = (index: number, problem: SheetProblem, found: string, allowed: string) =>
    faults.add({ line, column: index + 1, field: columnNames[index] ?? '', problem, found, allowed })
  for (const [index, name] of columnNames.entries()) {
    if (!COLUMNS.includes(name)) addFault(index, SheetProblem.UnknownColumn, name, COLUMNS.join(', '))
    else if (columnNames.indexOf(name) !== index) addFault(index, SheetProblem.RepeatedColumn, name, 'each column once')
  }
  for (const column of COLUMNS) {
    if (!columnNames.includes(column)) addFault(columnNames.length, SheetProblem.MissingColumn, '', column)
  }
  return faults.size === previousFaultCount ? new SheetHeader(columnNames) : undefined
}
