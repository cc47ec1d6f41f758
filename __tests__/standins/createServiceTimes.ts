import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { ServiceTimeShape } from './ServiceTimeShape.js'
import type { StandInSettings } from './StandInSettings.js'

/**
 * Creates a generator of service times, which yields the same times for the same seed.
 *
 * @param settings - settings with the mean, the distribution, the cold start and the seed
 * @returns a function that maps the time since the start of the upstream to the next service time, both in milliseconds
 */
export function createServiceTimes (settings: StandInSettings): (ageMilliseconds: number) => number {
  const random = xoroshiro128plus(settings.seed)
  return (ageMilliseconds) => {
    const warmTime = pickWarmTime(settings, uniformFloat64(random))
    return warmTime * computeColdStartFactor(settings, ageMilliseconds)
  }
}

function pickWarmTime (settings: StandInSettings, uniformFraction: number): number {
  if (settings.serviceTimeShape === ServiceTimeShape.Constant) return settings.serviceTimeMilliseconds
  return -Math.log(1 - uniformFraction) * settings.serviceTimeMilliseconds
}

function computeColdStartFactor (settings: StandInSettings, ageMilliseconds: number): number {
  if (ageMilliseconds >= settings.coldStartMilliseconds) return 1
  const remainingFraction = 1 - ageMilliseconds / settings.coldStartMilliseconds
  return 1 + (settings.coldStartFactor - 1) * remainingFraction
}
