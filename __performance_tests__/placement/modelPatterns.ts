import type { ModelDaySettings } from './ModelDay.js'

/** Load of the users' worst days, as a multiple of the quiet day's. */
const HIGH_LOAD = 1.37
/** Load of a burst on such a day. */
const BURST_LOAD = 1.85

/** A load pattern that placement and admission answer. */
export interface ModelPattern {
  name: string
  settings: Omit<ModelDaySettings, 'site' | 'seed'>
}

/** The load patterns of the users' days, each as one short day. */
export const modelPatterns: readonly ModelPattern[] = [
  { name: 'quiet', settings: { load: 1, seconds: 16 } },
  { name: 'high load', settings: { load: HIGH_LOAD, seconds: 20 } },
  { name: 'burst', settings: { load: BURST_LOAD, seconds: 16 } },
  { name: 'high load, sheds', settings: { load: HIGH_LOAD, seconds: 16, shed: { from: 6, to: 12, part: 0.55 } } },
  { name: 'high load, hosts killed', settings: { load: HIGH_LOAD, seconds: 16, killAt: 6 } }
]
