import type { ModelDaySettings } from './ModelDay.js'

/** Load on the worst days of the users, as a multiple of the load on a quiet day. */
const HIGH_LOAD = 1.37
/** Load during a burst on such a day, as the same multiple. */
const BURST_LOAD = 1.85

/** A load pattern to simulate. */
export interface ModelPattern {
  name: string
  settings: Omit<ModelDaySettings, 'site' | 'seed'>
}

/** Load patterns of the users' days, each as one short day. */
export const modelPatterns: readonly ModelPattern[] = [
  { name: 'quiet', settings: { load: 1, durationSeconds: 16 } },
  { name: 'high load', settings: { load: HIGH_LOAD, durationSeconds: 20 } },
  { name: 'burst', settings: { load: BURST_LOAD, durationSeconds: 16 } },
  { name: 'high load, sheds', settings: { load: HIGH_LOAD, durationSeconds: 16, shed: { fromSecond: 6, toSecond: 12, fraction: 0.55 } } },
  { name: 'high load, hosts killed', settings: { load: HIGH_LOAD, durationSeconds: 16, killAtSecond: 6 } }
]
