import ipaddr from 'ipaddr.js'
import type { GuestBlock } from './GuestBlock.js'

/**
 * Formats a block in its canonical text form.
 *
 * @param block - the block to format
 * @returns address, `/` and prefix length in bits, such as `192.0.2.0/24`
 */
export function formatGuestBlock (block: GuestBlock): string {
  const bytes = block.words.flatMap((word) => [word >>> 24, word >>> 16 & 255, word >>> 8 & 255, word & 255])
  return `${ipaddr.fromByteArray(bytes).toString()}/${block.length}`
}
