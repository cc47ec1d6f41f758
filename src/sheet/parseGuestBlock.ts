import { isIPv4 } from 'node:net'
import { AddressFamily, type GuestBlock } from './GuestBlock.js'
import { maskWord } from './maskWord.js'
import { parseAddress } from './parseAddress.js'
import { SheetProblem } from './SheetProblem.js'

const BLOCK_PATTERN = /^([0-9a-fA-F.:]+)\/(0|[1-9]\d{0,2})$/
const ADDRESS_BITS = { [AddressFamily.IPv4]: 32, [AddressFamily.IPv6]: 128 }

/**
 * Parses a guest block such as `192.0.2.0/24` or `2001:db8::/32`.
 *
 * @param text - address, `/` and prefix length in bits
 * @returns the block, or the reason why the text is not a valid block
 */
export function parseGuestBlock (text: string): GuestBlock | SheetProblem {
  const match = BLOCK_PATTERN.exec(text)
  if (match === null) return SheetProblem.InvalidGuestBlock
  const address = parseAddress(match[1]!)
  const length = Number(match[2])
  if (address === undefined || length > ADDRESS_BITS[address.family]) return SheetProblem.InvalidGuestBlock
  if (address.family === AddressFamily.IPv4 && !isIPv4(match[1]!)) return SheetProblem.InvalidGuestBlock
  if (address.words.some((word, index) => maskWord(word, index, length) !== word)) return SheetProblem.HostBitsSet
  return { ...address, length }
}
