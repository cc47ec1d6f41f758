import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * Creates a seeded generator of the times between Poisson arrivals.
 *
 * @param seed - the same seed gives the same sequence
 * @returns a function that takes the rate per second and returns the next gap in milliseconds
 */
export function createArrivalGapGenerator (seed: number): (requestsPerSecond: number) => number {
  const random = xoroshiro128plus(seed)
  return (requestsPerSecond) => -Math.log(1 - uniformFloat64(random)) * 1000 / requestsPerSecond
}
