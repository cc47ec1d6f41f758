import type { GuestBlockTable } from '../types/Sheet.js'
import { AddressFamily, type GuestBlock } from './GuestBlock.js'
import { parseAddress } from './parseAddress.js'
import type { PrefixList } from './PrefixList.js'

/** A guest block with the name of its guest place. */
export interface PlacedGuestBlock extends GuestBlock {
  place: string
}

/** Finds the guest place of an address by longest prefix match over one sorted list for each prefix length. */
export class PrefixGuestBlockTable implements GuestBlockTable {
  readonly size: number
  readonly #placeNames: string[]
  readonly #prefixListsByFamily: Record<AddressFamily, PrefixList[]>

  /**
   * @param placeNames - names of the places, indexed by place number
   * @param prefixLists - sorted lists of each address family, one for each prefix length
   */
  constructor (placeNames: string[], prefixLists: Record<AddressFamily, PrefixList[]>) {
    this.#placeNames = placeNames
    this.#prefixListsByFamily = {
      [AddressFamily.IPv4]: sortLongestFirst(prefixLists[AddressFamily.IPv4]),
      [AddressFamily.IPv6]: sortLongestFirst(prefixLists[AddressFamily.IPv6])
    }
    this.size = this.#listPrefixLists().reduce((sum, list) => sum + list.size, 0)
  }

  /** Size of the arrays that hold the blocks, in bytes. */
  get byteLength (): number {
    return this.#listPrefixLists().reduce((sum, list) => sum + list.byteLength, 0)
  }

  /**
   * Finds the guest place of an address.
   *
   * @param address - IPv4 or IPv6 address in text form
   * @returns name of the guest place of the longest matching block, undefined when none matches
   */
  findPlace (address: string): string | undefined {
    const parsedAddress = parseAddress(address)
    if (parsedAddress === undefined) return undefined
    for (const list of this.#prefixListsByFamily[parsedAddress.family]) {
      const placeNumber = list.findPlaceNumber(parsedAddress.words)
      if (placeNumber !== undefined) return this.#placeNames[placeNumber]
    }
    return undefined
  }

  /** Lists all blocks: IPv4 before IPv6, longer prefixes before shorter ones, then in the order of addresses. */
  * blocks (): Generator<PlacedGuestBlock> {
    for (const family of [AddressFamily.IPv4, AddressFamily.IPv6]) {
      for (const list of this.#prefixListsByFamily[family]) yield * this.#listBlocks(family, list)
    }
  }

  * #listBlocks (family: AddressFamily, list: PrefixList): Generator<PlacedGuestBlock> {
    const wordCount = family === AddressFamily.IPv4 ? 1 : 4
    for (let position = 0; position < list.size; position++) {
      const prefixWords = list.getWords(position)
      yield {
        family,
        length: list.prefixLength,
        words: Array.from({ length: wordCount }, (_, index) => prefixWords[index] ?? 0),
        place: this.#placeNames[list.getPlaceNumber(position)]!
      }
    }
  }

  #listPrefixLists (): PrefixList[] {
    return [...this.#prefixListsByFamily[AddressFamily.IPv4], ...this.#prefixListsByFamily[AddressFamily.IPv6]]
  }
}

function sortLongestFirst (lists: PrefixList[]): PrefixList[] {
  return lists.filter((list) => list.size > 0).sort((left, right) => right.prefixLength - left.prefixLength)
}
