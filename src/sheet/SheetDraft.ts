import type { CapEntry, LinkEntry, PlaceEntry, PlacementEntry, ServiceEntry } from '../types/Sheet.js'
import { GuestBlockTableBuilder } from './GuestBlockTableBuilder.js'
import type { SheetColumn } from './SheetColumn.js'
import type { SheetRecord } from './SheetRecord.js'
import type { SheetRow } from './SheetRow.js'

/** An entry with the row that it was read from. */
export interface LocatedEntry<Entry> {
  entry: Entry
  row: SheetRow
}

/** A name that a row mentions and that another row must declare. */
export interface NameReference {
  row: SheetRow
  column: SheetColumn
  name: string
}

/** What was read of a sheet so far, before the checks across its rows. */
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
  /** The place of each failure domain, as its first row gives it. */
  readonly placesByDomain = new Map<string, string>()
  readonly #linesByKey = new Map<string, number>()

  /**
   * Notes that a row declares something, also when another cell of the row is wrong.
   *
   * @param record - kind of the record
   * @param key - what makes it unique among its kind
   * @param row - the row
   * @returns line of the row that declared the same before, undefined when none did
   */
  declare (record: SheetRecord, key: string, row: SheetRow): number | undefined {
    const previousLine = this.#linesByKey.get(`${record} ${key}`)
    if (previousLine === undefined) this.#linesByKey.set(`${record} ${key}`, row.line)
    return previousLine
  }

  /** @returns whether a row declared this */
  isDeclared (record: SheetRecord, key: string): boolean {
    return this.#linesByKey.has(`${record} ${key}`)
  }

  /** @returns keys of one kind of record */
  listDeclared (record: SheetRecord): string[] {
    const prefix = `${record} `
    return [...this.#linesByKey.keys()].filter((key) => key.startsWith(prefix)).map((key) => key.slice(prefix.length))
  }
}
