import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createArrivalGapGenerator } from '../../src/cli/load/createArrivalGapGenerator.js'
import { LatencyHistogram } from '../../src/cli/load/LatencyHistogram.js'
import type { LatencySummary } from '../../src/cli/load/LatencySummary.js'
import type { LoadStream } from '../../src/cli/load/LoadStream.js'

/**
 * Computes the latencies of one shared queue in front of all slots, without network delay or lost work: a lower bound for every policy.
 *
 * @param stream - stream whose request rate applies
 * @param arrivalSeed - seed of the arrivals, as in the load run
 * @param durationSeconds - duration of the run
 * @param slots - number of slots of the service
 * @param serviceTimeMilliseconds - mean of the exponential service times
 */
export function computeIdealLatencies (stream: LoadStream, arrivalSeed: number, durationSeconds: number, slots: number, serviceTimeMilliseconds: number): LatencySummary {
  const pickInterval = createArrivalGapGenerator(arrivalSeed)
  const random = xoroshiro128plus(arrivalSeed + 1)
  const freeAt = new Array<number>(slots).fill(0)
  const histogram = new LatencyHistogram()
  for (let arrivedAt = pickInterval(stream.requestsPerSecond); arrivedAt < durationSeconds * 1000; arrivedAt += pickInterval(stream.requestsPerSecond)) {
    const slot = indexOfLowest(freeAt)
    const startedAt = Math.max(arrivedAt, freeAt[slot] ?? 0)
    const endedAt = startedAt - Math.log(1 - uniformFloat64(random)) * serviceTimeMilliseconds
    freeAt[slot] = endedAt
    histogram.record(endedAt - arrivedAt)
  }
  return histogram.summarize()
}

function indexOfLowest (values: number[]): number {
  return values.reduce((lowest, value, index) => value < (values[lowest] ?? Infinity) ? index : lowest, 0)
}
