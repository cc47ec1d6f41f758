import { isIP } from 'node:net'
import ipaddr from 'ipaddr.js'
import { AddressFamily, type ParsedAddress } from './GuestBlock.js'

/**
 * Parses an address in text form. An IPv4-mapped IPv6 address is parsed as the IPv4 address.
 *
 * @param text - IPv4 address in dotted decimal form, or IPv6 address
 * @returns the address, undefined when the text is not an address
 */
export function parseAddress (text: string): ParsedAddress | undefined {
  if (isIP(text) === 0) return undefined
  const bytes = ipaddr.process(text).toByteArray()
  const words: number[] = []
  for (let index = 0; index < bytes.length; index += 4) {
    words.push((bytes[index]! << 24 | bytes[index + 1]! << 16 | bytes[index + 2]! << 8 | bytes[index + 3]!) >>> 0)
  }
  return { family: words.length === 1 ? AddressFamily.IPv4 : AddressFamily.IPv6, words }
}
