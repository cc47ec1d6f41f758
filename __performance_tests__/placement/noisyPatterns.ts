import type { NoisyDaySettings } from './NoisyDay.js'

/** A load pattern to simulate. */
export interface NoisyPattern {
  name: string
  settings: Omit<NoisyDaySettings, 'seed' | 'secondAttemptRatio'>
}

const unbound = { durationSeconds: 40, requestsPerSecond: 80, workMilliseconds: 600, objectiveMilliseconds: 1_300 }
const bound = { durationSeconds: 40, requestsPerSecond: 60, workMilliseconds: 1_597, objectiveMilliseconds: 1_317, objects: 240 }
const STORM_FROM = 20_000
const STORM_TO = 28_000

/** Load patterns for second attempts, on upstreams that share their machines and with long pieces of work among the others. */
export const noisyPatterns = {
  noise: { name: 'noise', settings: unbound },
  warmObjects: { name: 'noise, warm objects', settings: bound },
  grey: { name: 'noise, one grey upstream', settings: { ...unbound, greyFactor: 5 } },
  fullLoad: { name: 'full load', settings: { ...unbound, requestsPerSecond: 240 } },
  storm: { name: 'all work three times as long for 8 s', settings: { ...unbound, loadFactor: (now: number) => now >= STORM_FROM && now < STORM_TO ? 3 : 1 } }
} satisfies Record<string, NoisyPattern>
