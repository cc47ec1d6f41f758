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
 * @param draft - the sheet as read
 * @param faults - receives what is wrong, at the first place of the pair's later region
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
