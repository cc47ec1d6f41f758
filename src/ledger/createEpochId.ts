import { createNonce } from './createNonce.js'

const TIME_DIGITS = 9
const RADIX = 36

/**
 * Creates a unique epoch id: wall-clock time, so that ids sort by age, and a random part, so that two hosts that
 * open an epoch at the same moment, or whose clocks were set back, do not create the same id.
 *
 * @param knownIds - ids of the known epochs
 * @returns an id that sorts after all known ones
 */
export function createEpochId (knownIds: string[]): string {
  const newestTime = Math.max(0, ...knownIds.map((id) => parseInt(id.slice(0, TIME_DIGITS), RADIX)))
  const time = Math.max(Date.now(), newestTime + 1).toString(RADIX).padStart(TIME_DIGITS, '0')
  return time + createNonce()
}
