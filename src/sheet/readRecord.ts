import { PlaceState } from '../types/PlaceState.js'
import { RequestClass } from '../types/RequestClass.js'
import type { CellReader } from './CellReader.js'
import { createLinkKey } from './createLinkKey.js'
import { ANY_GUEST_PLACE, MAXIMUM_CAP_REQUESTS_PER_SECOND, MAXIMUM_LINK_MEGABITS_PER_SECOND, MAXIMUM_SHARE, MAXIMUM_SHEET_NUMBER } from './sheetLimits.js'
import { SheetColumn } from './SheetColumn.js'
import type { SheetDraft } from './SheetDraft.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRecord } from './SheetRecord.js'
import { SheetUnit } from './SheetUnit.js'

const USED_COLUMNS: Record<SheetRecord, SheetColumn[]> = {
  [SheetRecord.Sheet]: [SheetColumn.Amount],
  [SheetRecord.Service]: [SheetColumn.Service, SheetColumn.Class],
  [SheetRecord.Place]: [SheetColumn.Place, SheetColumn.Domain, SheetColumn.Region, SheetColumn.State],
  [SheetRecord.Guests]: [SheetColumn.Guests, SheetColumn.Place],
  [SheetRecord.Placement]: [SheetColumn.Service, SheetColumn.Guests, SheetColumn.Place, SheetColumn.Amount, SheetColumn.Unit],
  [SheetRecord.Cap]: [SheetColumn.Service, SheetColumn.Place, SheetColumn.Amount, SheetColumn.Unit],
  [SheetRecord.Link]: [SheetColumn.Region, SheetColumn.ToRegion, SheetColumn.Amount, SheetColumn.Unit]
}

const RECORD_KINDS = Object.values(SheetRecord)
const UNUSED_COLUMNS = new Map(RECORD_KINDS.map((kind) => [kind, Object.values(SheetColumn).filter((column) => column !== SheetColumn.Record && !USED_COLUMNS[kind].includes(column))]))

const RECORD_READERS: Record<SheetRecord, (cells: CellReader, draft: SheetDraft) => void> = {
  [SheetRecord.Sheet]: readSheetNumber,
  [SheetRecord.Service]: readService,
  [SheetRecord.Place]: readPlace,
  [SheetRecord.Guests]: readGuests,
  [SheetRecord.Placement]: readPlacement,
  [SheetRecord.Cap]: readCap,
  [SheetRecord.Link]: readLink
}

/**
 * Reads one row into the draft. An invalid row adds faults, but no entry.
 *
 * @param cells - reader of the row's cells
 * @param draft - draft to which the entry is added
 */
export function readRecord (cells: CellReader, draft: SheetDraft): void {
  const recordName = cells.row.read(SheetColumn.Record)
  const kind = RECORD_KINDS.find((value) => value === recordName)
  if (kind === undefined) {
    const problem = recordName === '' ? SheetProblem.EmptyCell : SheetProblem.UnknownRecord
    cells.faults.addCellFault(cells.row, SheetColumn.Record, problem, RECORD_KINDS.join(', '))
    return
  }
  for (const column of UNUSED_COLUMNS.get(kind) ?? []) {
    if (cells.row.read(column) !== '') cells.faults.addCellFault(cells.row, column, SheetProblem.UnusedCell, 'empty')
  }
  RECORD_READERS[kind](cells, draft)
}

function readSheetNumber (cells: CellReader, draft: SheetDraft): void {
  declareOnce(cells, draft, SheetRecord.Sheet, '', SheetColumn.Record)
  draft.number ??= cells.readWholeNumber(SheetColumn.Amount, 1, MAXIMUM_SHEET_NUMBER)
}

function readService (cells: CellReader, draft: SheetDraft): void {
  const name = cells.readName(SheetColumn.Service)
  const requestClass = cells.readChoice(SheetColumn.Class, Object.values(RequestClass))
  if (name === undefined) return
  declareOnce(cells, draft, SheetRecord.Service, name, SheetColumn.Service)
  if (requestClass !== undefined) draft.services.push({ entry: { name, requestClass }, row: cells.row })
}

function readPlace (cells: CellReader, draft: SheetDraft): void {
  const name = cells.readName(SheetColumn.Place)
  const failureDomain = cells.readName(SheetColumn.Domain)
  const region = cells.readName(SheetColumn.Region)
  const state = cells.readChoice(SheetColumn.State, Object.values(PlaceState))
  if (name !== undefined) declareOnce(cells, draft, SheetRecord.Place, name, SheetColumn.Place)
  if (name !== undefined && failureDomain !== undefined) checkFailureDomain(cells, draft, failureDomain, name)
  if (region !== undefined) draft.regions.add(region)
  if (name === undefined || failureDomain === undefined || region === undefined || state === undefined) return
  draft.places.push({ entry: { name, failureDomain, region, state }, row: cells.row })
}

/** Allows one place per failure domain: all upstreams of a service in a domain form one pool, so two places in it could not be distinguished. */
function checkFailureDomain (cells: CellReader, draft: SheetDraft, failureDomain: string, placeName: string): void {
  const knownPlace = draft.placesByDomain.get(failureDomain) ?? placeName
  draft.placesByDomain.set(failureDomain, knownPlace)
  if (knownPlace !== placeName) cells.faults.addCellFault(cells.row, SheetColumn.Domain, SheetProblem.DomainHasPlace, `a failure domain without a place; ${knownPlace} is in this one`)
}

function readGuests (cells: CellReader, draft: SheetDraft): void {
  const block = cells.readGuestBlock(SheetColumn.Guests)
  const place = cells.readName(SheetColumn.Place)
  if (place !== undefined) draft.placeReferences.push({ row: cells.row, column: SheetColumn.Place, name: place })
  if (block === undefined) return
  const isFirst = declareOnce(cells, draft, SheetRecord.Guests, `${block.words.join(' ')}/${block.length}`, SheetColumn.Guests)
  if (isFirst && place !== undefined) draft.guestBlocks.add(block, place)
}

function readPlacement (cells: CellReader, draft: SheetDraft): void {
  const service = cells.readName(SheetColumn.Service)
  const guestPlace = cells.readName(SheetColumn.Guests, ANY_GUEST_PLACE)
  const place = cells.readName(SheetColumn.Place)
  const share = cells.readWholeNumber(SheetColumn.Amount, 0, MAXIMUM_SHARE)
  cells.readChoice(SheetColumn.Unit, [SheetUnit.Share])
  addServiceAndPlaceReferences(cells, draft, service, place)
  if (guestPlace !== undefined && guestPlace !== ANY_GUEST_PLACE) {
    draft.placeReferences.push({ row: cells.row, column: SheetColumn.Guests, name: guestPlace })
  }
  if (service === undefined || guestPlace === undefined || place === undefined) return
  declareOnce(cells, draft, SheetRecord.Placement, `${service} ${guestPlace} ${place}`, SheetColumn.Place)
  if (share !== undefined) draft.placements.push({ entry: { service, guestPlace, place, share }, row: cells.row })
}

function readCap (cells: CellReader, draft: SheetDraft): void {
  const service = cells.readName(SheetColumn.Service)
  const place = cells.readName(SheetColumn.Place)
  const requestsPerSecond = cells.readWholeNumber(SheetColumn.Amount, 1, MAXIMUM_CAP_REQUESTS_PER_SECOND)
  cells.readChoice(SheetColumn.Unit, [SheetUnit.RequestsPerSecond])
  addServiceAndPlaceReferences(cells, draft, service, place)
  if (service === undefined || place === undefined) return
  declareOnce(cells, draft, SheetRecord.Cap, `${service} ${place}`, SheetColumn.Place)
  if (requestsPerSecond !== undefined) draft.caps.push({ entry: { service, place, requestsPerSecond }, row: cells.row })
}

function readLink (cells: CellReader, draft: SheetDraft): void {
  const fromRegion = cells.readName(SheetColumn.Region)
  const toRegion = cells.readName(SheetColumn.ToRegion)
  const megabitsPerSecond = cells.readWholeNumber(SheetColumn.Amount, 1, MAXIMUM_LINK_MEGABITS_PER_SECOND)
  cells.readChoice(SheetColumn.Unit, [SheetUnit.MegabitsPerSecond])
  if (fromRegion !== undefined) draft.regionReferences.push({ row: cells.row, column: SheetColumn.Region, name: fromRegion })
  if (toRegion !== undefined) draft.regionReferences.push({ row: cells.row, column: SheetColumn.ToRegion, name: toRegion })
  if (fromRegion === undefined || toRegion === undefined) return
  if (fromRegion === toRegion) cells.faults.addCellFault(cells.row, SheetColumn.ToRegion, SheetProblem.SameRegion, 'another region')
  declareOnce(cells, draft, SheetRecord.Link, createLinkKey(fromRegion, toRegion), SheetColumn.ToRegion)
  if (megabitsPerSecond !== undefined) draft.links.push({ entry: { fromRegion, toRegion, megabitsPerSecond }, row: cells.row })
}

function addServiceAndPlaceReferences (cells: CellReader, draft: SheetDraft, service: string | undefined, place: string | undefined): void {
  if (service !== undefined) draft.serviceReferences.push({ row: cells.row, column: SheetColumn.Service, name: service })
  if (place !== undefined) draft.placeReferences.push({ row: cells.row, column: SheetColumn.Place, name: place })
}

function declareOnce (cells: CellReader, draft: SheetDraft, record: SheetRecord, key: string, column: SheetColumn): boolean {
  const previousLine = draft.declare(record, key, cells.row)
  if (previousLine === undefined) return true
  cells.faults.addCellFault(cells.row, column, SheetProblem.DuplicateRecord, `one record; the first is on line ${previousLine}`)
  return false
}
