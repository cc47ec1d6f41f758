import { AddressFamily, type GuestBlock } from './GuestBlock.js'
import { PrefixGuestBlockTable } from './PrefixGuestBlockTable.js'
import { PrefixList } from './PrefixList.js'

/** Builds a guest block table row by row. It stores the rows in typed arrays, without an object for each row. */
export class GuestBlockTableBuilder {
  readonly #placeNumbersByName = new Map<string, number>()
  readonly #placeNames: string[] = []
  readonly #prefixListsByLength = {
    [AddressFamily.IPv4]: new Map<number, PrefixList>(),
    [AddressFamily.IPv6]: new Map<number, PrefixList>()
  }

  /**
   * Allocates the arrays for the blocks of one prefix length, so that they need not grow. Must precede the first such block.
   *
   * @param family - address family of the blocks
   * @param prefixLength - length of their prefixes in bits
   * @param capacity - expected number of blocks
   */
  reserve (family: AddressFamily, prefixLength: number, capacity: number): void {
    this.#prefixListsByLength[family].set(prefixLength, new PrefixList(prefixLength, capacity))
  }

  /**
   * Adds a block. The caller makes sure that no block is added twice.
   *
   * @param block - a block without bits beyond its length
   * @param place - name of the guest place of its addresses
   */
  add (block: GuestBlock, place: string): void {
    this.#getOrCreateList(block.family, block.length).add(block.words, this.#getOrAssignNumber(place))
  }

  /** @returns the sorted table; the builder must not be used afterwards, because both share their arrays */
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
