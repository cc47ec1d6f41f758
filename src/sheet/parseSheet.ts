import { createHash } from 'node:crypto'
import { CellReader } from './CellReader.js'
import { checkLinks } from './checkLinks.js'
import { checkPlacements } from './checkPlacements.js'
import { checkReferences } from './checkReferences.js'
import type { CheckedSheet } from './CheckedSheet.js'
import { FaultList } from './FaultList.js'
import { readRecord } from './readRecord.js'
import { readRows } from './readRows.js'
import type { SheetCheck } from './SheetCheck.js'
import { SheetColumn } from './SheetColumn.js'
import { SheetDraft } from './SheetDraft.js'
import { MAXIMUM_PLACES } from './sheetLimits.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRecord } from './SheetRecord.js'

/**
 * Parses and checks a complete sheet.
 *
 * @param content - the CSV file; a string is encoded as UTF-8, a buffer must hold UTF-8
 * @returns the sheet or all of its faults, never both
 */
export function parseSheet (content: string | Buffer): SheetCheck {
  const bytes = typeof content === 'string' ? Buffer.from(content) : content
  const check = parseBytes(bytes, false)
  // Only faults need line numbers, and parsing with line numbers takes several times as long, so a valid sheet is parsed without them.
  return check.sheet === undefined ? parseBytes(bytes, true) : check
}

function parseBytes (bytes: Buffer, hasLineNumbers: boolean): SheetCheck {
  const faults = new FaultList()
  const rows = readRows(bytes, faults, hasLineNumbers)
  const isComplete = faults.size === 0
  const draft = new SheetDraft()
  for (const row of rows) readRecord(new CellReader(row, faults), draft)
  // Missing records can be detected only when every row was read.
  if (isComplete) checkDraft(draft, faults)
  if (faults.size > 0) return { faults: faults.listSorted() }
  return { sheet: createSheet(draft, createHash('sha256').update(bytes).digest('hex')), faults: [] }
}

function checkDraft (draft: SheetDraft, faults: FaultList): void {
  const addMissing = (problem: SheetProblem, allowed: string) =>
    faults.add({ line: 1, column: 1, field: SheetColumn.Record, problem, found: '', allowed })
  if (!draft.isDeclared(SheetRecord.Sheet, '')) addMissing(SheetProblem.MissingSheetNumber, 'one sheet record with the number in the amount column')
  if (draft.listDeclared(SheetRecord.Service).length === 0) addMissing(SheetProblem.NoService, 'a service record')
  const placeCount = draft.listDeclared(SheetRecord.Place).length
  if (placeCount === 0) addMissing(SheetProblem.NoPlace, 'a place record')
  if (placeCount > MAXIMUM_PLACES) addMissing(SheetProblem.TooManyRows, `at most ${MAXIMUM_PLACES} places`)
  checkReferences(draft, faults)
  checkPlacements(draft, faults)
  checkLinks(draft, faults)
}

function createSheet (draft: SheetDraft, digest: string): CheckedSheet {
  return {
    number: draft.number!,
    digest,
    services: new Map(draft.services.map(({ entry }) => [entry.name, entry])),
    places: new Map(draft.places.map(({ entry }) => [entry.name, entry])),
    placements: draft.placements.map(({ entry }) => entry),
    caps: draft.caps.map(({ entry }) => entry),
    links: draft.links.map(({ entry }) => entry),
    guestBlocks: draft.guestBlocks.build()
  }
}
