import type { CapEntry, LinkEntry, PlaceEntry, PlacementEntry, ServiceEntry } from '../types/Sheet.js'
import { GuestBlockTableBuilder } from './GuestBlockTableBuilder.js'
import type { SheetColumn } from './SheetColumn.js'
import type { SheetRecord } from './SheetRecord.js'
import type { SheetRow } from './SheetRow.js'

/** An entry with the row from which it was read, so that later checks can report the row. */
export interface LocatedEntry<Entry> {
  entry: Entry
  row: SheetRow
}

/** A cell that names a service, place or region which another row must declare. */
export interface NameReference {
  row: SheetRow
  column: SheetColumn
  name: string
}

/** Entries of a sheet as they are read, before the checks across rows. */
export class SheetDraft {
  number: number | undefined
  readonly services: Array<LocatedEntry<ServiceEntry>> = []
  readonly places: Array<LocatedEntry<PlaceEntry>> = []
  readonly placements: Array<LocatedEntry<PlacementEntry>> = []
  readonly caps: Array<LocatedEntry<CapEntry>> = []
  readonly links: Array<LocatedEntry<LinkEntry>> = []
  readonly guestBlocks = new GuestBlockTableBuilder()
  readonly serviceReferences: NameReference[] = []
  readonly placeReferences: NameReference[] = []
  readonly regionReferences: NameReference[] = []
  readonly regions = new Set<string>()
  /** Place of each failure domain, from the first row that names the domain. */
  readonly placesByDomain = new Map<string, string>()
  readonly #linesByKey = new Map<string, number>()

  /**
   * Records that a row declares an item. This applies even when another cell of the row is invalid, so that references to the item
   * are not reported as well.
   *
   * @param record - kind of the record
   * @param key - unique key of the item among its kind
   * @param row - the row that declares it
   * @returns line of the row that already declared the item, undefined when there is none
   */
  declare (record: SheetRecord, key: string, row: SheetRow): number | undefined {
    const previousLine = this.#linesByKey.get(`${record} ${key}`)
    if (previousLine === undefined) this.#linesByKey.set(`${record} ${key}`, row.line)
    return previousLine
  }

  /** @returns whether a row declares the item with this kind and key */
  isDeclared (record: SheetRecord, key: string): boolean {
    return this.#linesByKey.has(`${record} ${key}`)
  }

  /** @returns the declared keys of one kind of record, in the order of the rows */
  listDeclared (record: SheetRecord): string[] {
    const prefix = `${record} `
    return [...this.#linesByKey.keys()].filter((key) => key.startsWith(prefix)).map((key) => key.slice(prefix.length))
  }
}
