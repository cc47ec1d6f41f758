import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'
import { EntryHostIndex } from './EntryHostIndex.js'
import type { EntryHostQuery } from './EntryHostQuery.js'
import { hasSameEntryHosts } from './hasSameEntryHosts.js'
import { orderEntryHosts, type EntryHostList } from './orderEntryHosts.js'

/** Orders entry hosts by an index that is kept until the members or the sheet change. */
export class EntryHostOrder {
  #members: Member[] = []
  #sheet: Sheet | undefined
  #index: EntryHostIndex | undefined

  /**
   * Does what {@link orderEntryHosts} does. A changed view of the members is told by another array,
   * a changed sheet by another object.
   *
   * @param query - the guest and what is known; hosts without a sheet are left out unless no other is left
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

/** A host that has no sheet yet can serve nobody. */
function createIndex (members: Member[], sheet: Sheet): EntryHostIndex {
  const membersWithSheet = members.filter(({ details }) => details.sheetNumber > 0)
  return new EntryHostIndex(membersWithSheet.length > 0 ? membersWithSheet : members, sheet)
}
