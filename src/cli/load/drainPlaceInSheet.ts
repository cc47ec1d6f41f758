import { parse } from 'csv-parse/sync'
import { HibiscusrelayError } from '../../errors/HibiscusrelayError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { SheetColumn } from '../../sheet/SheetColumn.js'
import { SheetRecord } from '../../sheet/SheetRecord.js'
import { PlaceState } from '../../types/PlaceState.js'
import { Step } from '../../types/Step.js'

/** A sheet with a place in the draining state. */
export interface DrainingSheet {
  /** Content of the sheet as CSV. */
  content: string
  /** Failure domain of the place. */
  domain: string
}

/**
 * Composes the next sheet: a copy with the next number and one more place in the draining state.
 *
 * @param content - content of the sheet in force
 * @param place - name of the place to drain
 * @throws {@link HibiscusrelayError} when the sheet has no open place of this name
 */
export function drainPlaceInSheet (content: string, place: string): DrainingSheet {
  const rows = parse(content, { delimiter: [',', ';'], bom: true, relaxColumnCount: true, skipEmptyLines: true })
  const header = rows[0] ?? []
  const readCell = (row: string[], column: SheetColumn): string => row[header.indexOf(column)] ?? ''
  const placeRow = rows.find((row) => readCell(row, SheetColumn.Record) === SheetRecord.Place && readCell(row, SheetColumn.Place) === place && readCell(row, SheetColumn.State) === PlaceState.Open)
  const sheetRow = rows.find((row) => readCell(row, SheetColumn.Record) === SheetRecord.Sheet)
  if (placeRow === undefined || sheetRow === undefined) throw new HibiscusrelayError(errorTexts.drainUnknownPlace(place), { step: Step.Settings, peer: place })
  placeRow[header.indexOf(SheetColumn.State)] = PlaceState.Draining
  sheetRow[header.indexOf(SheetColumn.Amount)] = String(Number(readCell(sheetRow, SheetColumn.Amount)) + 1)
  return { content: rows.map((row) => `${row.map(quoteCell).join(',')}\n`).join(''), domain: readCell(placeRow, SheetColumn.Domain) }
}

function quoteCell (cell: string): string {
  return /[",;\n]/.test(cell) ? `"${cell.replaceAll('"', '""')}"` : cell
}
