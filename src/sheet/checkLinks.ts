import type { FaultList } from './FaultList.js'
import { createLinkKey } from './createLinkKey.js'
import { SheetColumn } from './SheetColumn.js'
import type { SheetDraft } from './SheetDraft.js'
import { SheetProblem } from './SheetProblem.js'
import { SheetRecord } from './SheetRecord.js'
import type { SheetRow } from './SheetRow.js'

/**
 * Checks that each pair of regions has a link.
 *
 * @param draft - the entries read from the sheet
 * @param faults - list to which the faults are added; a missing link is reported at the first place of the region that comes later
 */
export function checkLinks (draft: SheetDraft, faults: FaultList): void {
  const rowsByRegion = new Map<string, SheetRow>()
  for (const { entry, row } of draft.places) {
    if (rowsByRegion.has(entry.region)) continue
    for (const otherRegion of rowsByRegion.keys()) {
      if (draft.isDeclared(SheetRecord.Link, createLinkKey(otherRegion, entry.region))) continue
      faults.addCellFault(row, SheetColumn.Region, SheetProblem.MissingLink, `a link between ${otherRegion} and ${entry.region}`)
    }
    rowsByRegion.set(entry.region, row)
  }
}
