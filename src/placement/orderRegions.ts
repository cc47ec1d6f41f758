import { computeScore } from '../steering/RendezvousItems.js'
import { hashText } from '../utils/hashText.js'

const HASH_RANGE = 2 ** 32

/**
 * Orders regions for one object by weighted rendezvous hashing: each region comes first for a fraction of all objects
 * proportional to its weight, and a change of weights moves only as many objects as necessary.
 *
 * @param keyHash - hash of the object
 * @param weights - weight of each region
 * @returns the regions, best first
 */
export function orderRegions (keyHash: number, weights: ReadonlyMap<string, number>): string[] {
  return [...weights]
    .map(([region, weight]) => ({ region, score: weight / -Math.log((computeScore(keyHash, hashText(region)) + 0.5) / HASH_RANGE) }))
    .sort((left, right) => right.score - left.score)
    .map(({ region }) => region)
}
