import { AddressFamily, type GuestBlock } from './GuestBlock.js'
import { PrefixGuestBlockTable } from './PrefixGuestBlockTable.js'
import { PrefixList } from './PrefixList.js'

/** Builds a guest block table row by row, without an object for each row. */
export class GuestBlockTableBuilder {
  readonly #placeNumbersByName = new Map<string, number>()
  readonly #placeNames: string[] = []
  readonly #prefixListsByLength = {
    [AddressFamily.IPv4]: new Map<number, PrefixList>(),
    [AddressFamily.IPv6]: new Map<number, PrefixList>()
  }

  /**
   * Makes room beforehand, so that the arrays need not grow.
   *
   * @param family - family of the blocks
   * @param prefixLength - bits of their prefixes
   * @param capacity - how many there will be
   */
  reserve (family: AddressFamily, prefixLength: number, capacity: number): void {
    this.#prefixListsByLength[family].set(prefixLength, new PrefixList(prefixLength, capacity))
  }

  /**
   * Adds a block that was not added before.
   *
   * @param block - the block
   * @param place - name of the place of its guests
   */
  add (block: GuestBlock, place: string): void {
    this.#getOrCreateList(block.family, block.length).add(block.words, this.#getOrAssignNumber(place))
  }

  /** @returns the finished table; the builder must not be used afterwards */
  build (): PrefixGuestBlockTable {
    const prefixLists = {
      [AddressFamily.IPv4]: [...this.#prefixListsByLength[AddressFamily.IPv4].values()],
      [AddressFamily.IPv6]: [...this.#prefixListsByLength[AddressFamily.IPv6].values()]
    }
    for (const list of [...prefixLists[AddressFamily.IPv4], ...prefixLists[AddressFamily.IPv6]]) list.finish()
    return new PrefixGuestBlockTable(this.#placeNames, prefixLists)
  }

  #getOrCreateList (family: AddressFamily, prefixLength: number): PrefixList {
    const existing = this.#prefixListsByLength[family].get(prefixLength)
    if (existing !== undefined) return existing
    const list = new PrefixList(prefixLength)
    this.#prefixListsByLength[family].set(prefixLength, list)
    return list
  }

  #getOrAssignNumber (place: string): number {
    const existing = this.#placeNumbersByName.get(place)
    if (existing !== undefined) return existing
    this.#placeNumbersByName.set(place, this.#placeNames.length)
    return this.#placeNames.push(place) - 1
  }
}
