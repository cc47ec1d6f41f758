import type { LoadStream } from './LoadStream.js'
import type { ScheduleEntry } from './ScheduleEntry.js'

/** Configuration of a load run. */
export interface LoadPlan {
  /** Guest addresses, `ip:port`, of the hosts that answer lookups. */
  entryAddresses: string[]
  /** Place to name in lookups; undefined to let the address decide. */
  place: string | undefined
  streams: LoadStream[]
  durationSeconds: number
  /** Seed of the arrival times and of the choice among hosts. */
  seed: number
  schedule: ScheduleEntry[]
}
