import { PlaceState } from '../types/PlaceState.js'
import type { PlaceEntry, PlacementEntry } from '../types/Sheet.js'
import type { FaultList } from './FaultList.js'
import { ANY_GUEST_PLACE } from './sheetLimits.js'
import { SheetColumn } from './SheetColumn.js'
import type { LocatedEntry, SheetDraft } from './SheetDraft.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRecord } from './SheetRecord.js'

/**
 * Checks that every guest can be served: each service has placements for all guests, each group of placements
 * (one service and guest place) has an open place, and each open place in a placement has a cap for the service.
 *
 * @param draft - the entries read from the sheet
 * @param faults - list to which the faults are added
 */
export function checkPlacements (draft: SheetDraft, faults: FaultList): void {
  const placesByName = new Map(draft.places.map(({ entry }) => [entry.name, entry]))
  checkCaps(draft, placesByName, faults)
  checkOpenPlaces(draft, placesByName, faults)
  const coveredServices = new Set(draft.placements.filter(({ entry }) => entry.guestPlace === ANY_GUEST_PLACE).map(({ entry }) => entry.service))
  for (const { entry, row } of draft.services) {
    if (coveredServices.has(entry.name)) continue
    faults.addCellFault(row, SheetColumn.Service, SheetProblem.MissingDefaultPlacement, `a placement of ${entry.name} for guests ${ANY_GUEST_PLACE}`)
  }
}

function checkCaps (draft: SheetDraft, placesByName: Map<string, PlaceEntry>, faults: FaultList): void {
  const reportedKeys = new Set<string>()
  for (const { entry, row } of draft.placements) {
    const key = `${entry.service} ${entry.place}`
    const canReceiveRequests = placesByName.get(entry.place)?.state === PlaceState.Open && draft.isDeclared(SheetRecord.Service, entry.service)
    if (!canReceiveRequests || reportedKeys.has(key) || draft.isDeclared(SheetRecord.Cap, key)) continue
    reportedKeys.add(key)
    faults.addCellFault(row, SheetColumn.Place, SheetProblem.MissingCap, `a cap of ${entry.service} at ${entry.place}`)
  }
}

function checkOpenPlaces (draft: SheetDraft, placesByName: Map<string, PlaceEntry>, faults: FaultList): void {
  const placementsByKey = new Map<string, Array<LocatedEntry<PlacementEntry>>>()
  for (const locatedPlacement of draft.placements) {
    const key = `${locatedPlacement.entry.service} ${locatedPlacement.entry.guestPlace}`
    const group = placementsByKey.get(key)
    if (group === undefined) placementsByKey.set(key, [locatedPlacement])
    else group.push(locatedPlacement)
  }
  for (const group of placementsByKey.values()) {
    const hasOpenPlace = group.some(({ entry }) => placesByName.get(entry.place)?.state !== PlaceState.Draining)
    if (hasOpenPlace) continue
    const { entry, row } = group[0]!
    faults.addCellFault(row, SheetColumn.Place, SheetProblem.NoOpenPlace, `an open place for guests ${entry.guestPlace} of ${entry.service}`)
  }
}
