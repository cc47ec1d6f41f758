import { readFileSync } from 'node:fs'
import { parseSheet } from '../../src/sheet/parseSheet.js'

const RUNS = 3

/** Time to parse and check one sheet. */
export interface SheetParsingFigures {
  rows: number
  bytes: number
  /** Median of the runs. */
  milliseconds: number
}

/**
 * Measures the parsing of the example sheet with guest blocks appended.
 *
 * @param blockCounts - numbers of guest blocks to append, one for each measurement
 * @returns figures for each number of blocks
 */
export function measureSheetParsing (blockCounts: number[]): SheetParsingFigures[] {
  const exampleSheet = readFileSync('examples/megafonia/sheet-1.csv', 'utf8')
  return blockCounts.map((count) => {
    const addedRows = Array.from({ length: count }, (_, index) => `guests,,,10.${index >> 8 & 255}.${index & 255}.0/24,oviedo,,,,,,\n`)
    const content = Buffer.from(exampleSheet + addedRows.join(''))
    const times = Array.from({ length: RUNS }, () => measureParsingMilliseconds(content)).sort((left, right) => left - right)
    return { rows: content.toString().split('\n').length - 2, bytes: content.length, milliseconds: times[RUNS >> 1]! }
  })
}

function measureParsingMilliseconds (content: Buffer): number {
  const start = performance.now()
  const { faults } = parseSheet(content)
  if (faults.length > 0) throw new Error(`the example sheet with appended guest blocks has ${faults.length} faults`)
  return performance.now() - start
}
