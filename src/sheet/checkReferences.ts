import type { FaultList } from './FaultList.js'
import { formatNames } from './formatNames.js'
import type { NameReference, SheetDraft } from './SheetDraft.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRecord } from './SheetRecord.js'

/**
 * Checks that every service, place and region that a row refers to is declared.
 *
 * @param draft - the entries read from the sheet
 * @param faults - list to which the faults are added
 */
export function checkReferences (draft: SheetDraft, faults: FaultList): void {
  checkNameReferences(draft.serviceReferences, draft.listDeclared(SheetRecord.Service), SheetProblem.UnknownService, faults)
  checkNameReferences(draft.placeReferences, draft.listDeclared(SheetRecord.Place), SheetProblem.UnknownPlace, faults)
  checkNameReferences(draft.regionReferences, [...draft.regions], SheetProblem.UnknownRegion, faults)
}

function checkNameReferences (references: NameReference[], declaredNames: string[], problem: SheetProblem, faults: FaultList): void {
  const knownNames = new Set(declaredNames)
  const allowed = formatNames(knownNames)
  for (const { row, column, name } of references) {
    if (!knownNames.has(name)) faults.addCellFault(row, column, problem, allowed)
  }
}
