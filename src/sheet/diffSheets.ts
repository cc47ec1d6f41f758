import type { CheckedSheet } from './CheckedSheet.js'
import { formatGuestBlock } from './formatGuestBlock.js'
import { createLinkKey } from './createLinkKey.js'
import { SheetChangeKind, type SheetChange } from './SheetChange.js'
import { SheetRecord } from './SheetRecord.js'
import { SheetUnit } from './SheetUnit.js'

/**
 * Lists the differences between a sheet and the one that replaces it.
 *
 * @param before - the sheet in force, undefined when there is none
 * @param after - the sheet that replaces it
 * @returns the changes, grouped by kind of record, in the order of the records in the sheets
 */
export function diffSheets (before: CheckedSheet | undefined, after: CheckedSheet): SheetChange[] {
  return Object.values(SheetRecord).flatMap((record) => {
    const previous = before === undefined ? new Map<string, string>() : describeRecords(before, record)
    return compareRecords(record, previous, describeRecords(after, record))
  })
}

function compareRecords (record: SheetRecord, before: Map<string, string>, after: Map<string, string>): SheetChange[] {
  const changes: SheetChange[] = []
  for (const [subject, content] of after) {
    const previousContent = before.get(subject)
    if (previousContent === undefined) changes.push({ kind: SheetChangeKind.Added, record, subject, after: content })
    else if (previousContent !== content) changes.push({ kind: SheetChangeKind.Changed, record, subject, before: previousContent, after: content })
  }
  for (const [subject, content] of before) {
    if (!after.has(subject)) changes.push({ kind: SheetChangeKind.Removed, record, subject, before: content })
  }
  return changes
}

/** Describes each record of one kind as text, by its unique key. */
function describeRecords (sheet: CheckedSheet, record: SheetRecord): Map<string, string> {
  switch (record) {
    case SheetRecord.Sheet: return new Map([['number', String(sheet.number)]])
    case SheetRecord.Service: return new Map([...sheet.services.values()].map((entry) => [entry.name, entry.requestClass]))
    case SheetRecord.Place: return new Map([...sheet.places.values()].map((entry) => [entry.name, `${entry.failureDomain} in ${entry.region}, ${entry.state}`]))
    case SheetRecord.Guests: return new Map([...sheet.guestBlocks.blocks()].map((block) => [formatGuestBlock(block), block.place]))
    case SheetRecord.Placement: return new Map(sheet.placements.map((entry) => [`${entry.service}: guests ${entry.guestPlace} to ${entry.place}`, `${entry.share} ${SheetUnit.Share}`]))
    case SheetRecord.Cap: return new Map(sheet.caps.map((entry) => [`${entry.service} at ${entry.place}`, `${entry.requestsPerSecond} ${SheetUnit.RequestsPerSecond}`]))
    case SheetRecord.Link: return new Map(sheet.links.map((entry) => [createLinkKey(entry.fromRegion, entry.toRegion), `${entry.megabitsPerSecond} ${SheetUnit.MegabitsPerSecond}`]))
  }
}
