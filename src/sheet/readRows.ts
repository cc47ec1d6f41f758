import { CsvError, parse, type Info, type Options } from 'csv-parse/sync'
import type { FaultList } from './FaultList.js'
import { readHeader } from './readHeader.js'
import { MAXIMUM_ROW_BYTES, MAXIMUM_SHEET_BYTES, MAXIMUM_SHEET_ROWS } from './sheetLimits.js'
import { SheetColumn } from './SheetColumn.js'
import type { SheetHeader } from './SheetHeader.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRow } from './SheetRow.js'

/** Value that csv-parse passes for each record when its `info` option is set. */
interface ParsedRecord {
  record: string[]
  info: Info
}

/** csv-parse options that are the same with and without line numbers. */
type CsvOptions = Pick<Options, 'delimiter' | 'relax_column_count' | 'skip_empty_lines' | 'trim' | 'max_record_size' | 'to'>

interface RawRow {
  line: number
  cells: string[]
}

/**
 * Reads the rows of a sheet. The delimiter is a comma or a semicolon and is detected from the header. A byte order mark,
 * LF, CRLF and CR line ends and empty rows are accepted.
 *
 * @param content - complete content of the file
 * @param faults - list to which the faults are added
 * @param hasLineNumbers - whether rows get their line numbers, which takes several times as long; otherwise each line is 0
 * @returns the rows below the header that have the right number of cells
 */
export function readRows (content: Buffer, faults: FaultList, hasLineNumbers = true): SheetRow[] {
  const text = decodeText(content, faults)
  if (text === undefined) return []
  const [headerRow, ...contentRows] = parseCsv(text, faults, hasLineNumbers)
  if (headerRow === undefined) {
    if (faults.size === 0) addFileFault(faults, SheetProblem.NoHeader, Object.values(SheetColumn).join(','))
    return []
  }
  const header = readHeader(headerRow.line, headerRow.cells, faults)
  if (header === undefined) return []
  return contentRows.flatMap((rawRow) => createSheetRow(rawRow, header, faults))
}

function decodeText (content: Buffer, faults: FaultList): string | undefined {
  if (content.length > MAXIMUM_SHEET_BYTES) {
    addFileFault(faults, SheetProblem.TooLarge, `at most ${MAXIMUM_SHEET_BYTES} bytes`)
    return undefined
  }
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(content).replace(/\r\n?/g, '\n')
  } catch {
    addFileFault(faults, SheetProblem.NotUtf8, 'UTF-8 text')
    return undefined
  }
}

function parseCsv (text: string, faults: FaultList, hasLineNumbers: boolean): RawRow[] {
  const rows: RawRow[] = []
  const addRow = (row: RawRow): void => { if (row.cells.some((cell) => cell !== '')) rows.push(row) }
  try {
    if (hasLineNumbers) parseWithLineNumbers(text, addRow)
    else for (const cells of parse(text, createCsvOptions(text))) addRow({ line: 0, cells })
  } catch (error) {
    if (!(error instanceof CsvError)) throw error
    addMalformedFault(error, faults)
  }
  if (rows.length > MAXIMUM_SHEET_ROWS + 1) {
    addFileFault(faults, SheetProblem.TooManyRows, `at most ${MAXIMUM_SHEET_ROWS} rows`)
    return []
  }
  return rows
}

function parseWithLineNumbers (text: string, addRow: (row: RawRow) => void): void {
  parse(text, {
    ...createCsvOptions(text),
    info: true,
    on_record: (record: unknown) => {
      addRow(createRawRow(record as ParsedRecord))
      return null
    }
  })
}

function createCsvOptions (text: string): CsvOptions {
  return {
    delimiter: detectDelimiter(text),
    relax_column_count: true,
    skip_empty_lines: true,
    trim: true,
    max_record_size: MAXIMUM_ROW_BYTES,
    to: MAXIMUM_SHEET_ROWS + 2
  }
}

/** csv-parse counts the lines up to the end of a record. A quoted cell may contain line ends, which are subtracted to get the first line. */
function createRawRow ({ record, info }: ParsedRecord): RawRow {
  const lineEndCount = record.reduce((count, cell) => count + cell.split('\n').length - 1, 0)
  return { line: info.lines - lineEndCount, cells: record }
}

function detectDelimiter (text: string): string {
  const headerEnd = text.indexOf('\n')
  const header = headerEnd === -1 ? text : text.slice(0, headerEnd)
  return header.includes(';') && !header.includes(',') ? ';' : ','
}

function createSheetRow (rawRow: RawRow, header: SheetHeader, faults: FaultList): SheetRow[] {
  if (rawRow.cells.length === header.columnCount) return [new SheetRow(rawRow.line, header, rawRow.cells)]
  const column = Math.min(rawRow.cells.length, header.columnCount) + 1
  faults.add({ line: rawRow.line, column, field: '', problem: SheetProblem.WrongCellCount, found: `${rawRow.cells.length} cells`, allowed: `${header.columnCount} cells` })
  return []
}

function addMalformedFault (error: CsvError, faults: FaultList): void {
  const line = typeof error['lines'] === 'number' ? error['lines'] : 1
  const column = typeof error['column'] === 'number' ? error['column'] + 1 : 1
  faults.add({ line, column, field: '', problem: SheetProblem.MalformedCsv, found: error.message, allowed: 'RFC 4180 CSV, quotes doubled inside quoted cells' })
}

function addFileFault (faults: FaultList, problem: SheetProblem, allowed: string): void {
  faults.add({ line: 1, column: 1, field: '', problem, found: '', allowed })
}
