import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * Creates a seeded source of gaps between Poisson arrivals.
 *
 * @param seed - seed of the gaps
 * @returns a function from the rate per second to the next gap in milliseconds
 */
export function createArrivalGapGenerator (seed: number): (requestsPerSecond: number) => number {
  const random = xoroshiro128plus(seed)
  return (requestsPerSecond) => -Math.log(1 - uniformFloat64(random)) * 1000 / requestsPerSecond
}
