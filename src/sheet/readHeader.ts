import type { FaultList } from './FaultList.js'
import { SheetColumn } from './SheetColumn.js'
import { SheetHeader } from './SheetHeader.js'
import { SheetProblem } from './SheetProblem.js'

const COLUMNS: string[] = Object.values(SheetColumn)

/**
 * Reads the header row, which must name each column once, in any order, and no other column.
 *
 * @param line - line of the header row in the file, from 1
 * @param columnNames - cells of the header row
 * @param faults - list to which the faults are added
 * @returns the header, undefined when it has faults
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
