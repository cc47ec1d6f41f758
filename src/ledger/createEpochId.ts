import { createNonce } from './createNonce.js'

const TIME_DIGITS = 9
const RADIX = 36

/**
 * Makes an epoch id that no other opening can make: wall-clock time, so that ids sort by age, and a random part,
 * so that two hosts that open at the same moment, or whose clocks stepped back, do not make the same one.
 *
 * @param knownIds - ids of the epochs that are known; the new id sorts after them
 * @returns the id
 */
export function createEpochId (knownIds: string[]): string {
  const newestTime = Math.max(0, ...knownIds.map((id) => parseInt(id.slice(0, TIME_DIGITS), RADIX)))
  const time = Math.max(Date.now(), newestTime + 1).toString(RADIX).padStart(TIME_DIGITS, '0')
  return time + createNonce()
}
