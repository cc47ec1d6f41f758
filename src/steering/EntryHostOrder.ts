import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'
import { EntryHostIndex } from './EntryHostIndex.js'
import type { EntryHostQuery } from './EntryHostQuery.js'
import { hasSameEntryHosts } from './hasSameEntryHosts.js'
import { orderEntryHosts, type EntryHostList } from './orderEntryHosts.js'

/** Orders entry hosts with an index that is cached until the members or the sheet change. */
export class EntryHostOrder {
  #members: Member[] = []
  #sheet: Sheet | undefined
  #index: EntryHostIndex | undefined

  /**
   * Returns the same as {@link orderEntryHosts}. A change of the members must come as a new array,
   * a change of the sheet as a new object.
   *
   * @param query - the guest, the members and the sheet; hosts without a sheet are left out unless there are no others
   * @returns the entry hosts for the guest, in order
   */
  order (query: EntryHostQuery): EntryHostList {
    return orderEntryHosts(query, this.#getIndex(query))
  }

  #getIndex ({ members, sheet }: EntryHostQuery): EntryHostIndex {
    const isCurrent = this.#sheet === sheet && (this.#members === members || hasSameEntryHosts(this.#members, members))
    this.#members = members
    this.#sheet = sheet
    if (!isCurrent || this.#index === undefined) this.#index = createIndex(members, sheet)
    return this.#index
  }
}

/** Leaves out hosts that have no sheet yet, since they cannot serve any guest. */
function createIndex (members: Member[], sheet: Sheet): EntryHostIndex {
  const membersWithSheet = members.filter(({ details }) => details.sheetNumber > 0)
  return new EntryHostIndex(membersWithSheet.length > 0 ? membersWithSheet : members, sheet)
}
