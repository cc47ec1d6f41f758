import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { ServiceTimeShape } from './ServiceTimeShape.js'
import type { StandInSettings } from './StandInSettings.js'

/**
 * Creates a seeded source of service times.
 *
 * @param settings - mean, shape, cold start and seed
 * @returns a function from the upstream's age to the next service time, both in milliseconds
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
