import { isIPv4 } from 'node:net'
import { splitAddress } from '../utils/splitAddress.js'
import { isGone, type UpstreamRecord } from './UpstreamRecord.js'

const MAXIMUM_PORT = 65_535
/** Far above what one process runs at once; sums over all upstreams stay exact. */
const MAXIMUM_SLOTS = 1_000_000
/** No upstream stays cold for longer than a day. */
const MAXIMUM_COLD_MILLISECONDS = 86_400_000
/** How far an upstream's clock may be ahead: a start in the far future would hide all later ones at its address. */
const MAXIMUM_CLOCK_LEAD_MILLISECONDS = 86_400_000
const MAXIMUM_NAME_LENGTH = 256

/**
 * Checks that a record can be used by every host. It is checked where it enters the system and wherever it is merged,
 * since a record that one host accepted reaches all of them.
 *
 * @param record - record of an upstream, from an announcement, another host or a file
 * @returns false when it names nothing that a request could be sent to; records of upstreams that have left need no address
 */
export function isUsableUpstream (record: UpstreamRecord): boolean {
  const { id, bornAt, sequence, slots, address, service, domain, coldMilliseconds } = record
  if ([id, service, domain].some((name) => typeof name !== 'string' || name.length > MAXIMUM_NAME_LENGTH)) return false
  if (!isWithin(bornAt, Date.now() + MAXIMUM_CLOCK_LEAD_MILLISECONDS) || !isWithin(sequence, Number.MAX_SAFE_INTEGER)) return false
  if (isGone(record)) return true
  return isUsableAddress(address) && slots >= 1 && isWithin(slots, MAXIMUM_SLOTS) && coldMilliseconds >= 0 && coldMilliseconds <= MAXIMUM_COLD_MILLISECONDS
}

function isUsableAddress (address: unknown): boolean {
  if (typeof address !== 'string') return false
  const { host, port } = splitAddress(address)
  return isIPv4(host) && port >= 1 && isWithin(port, MAXIMUM_PORT)
}

function isWithin (value: unknown, maximum: number): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= maximum
}
