import type { DrainOrder } from './DrainOrder.js'

/** Scheduled change during a load run. */
export interface ScheduleEntry {
  /** Time of the change, from the start of the run. */
  atSeconds: number
  /** Factor on the rate of every stream from this time on; absent when the rate does not change. */
  rateFactor?: number
  /** Drain to order at this time. */
  drain?: DrainOrder
  /** Label of this time in the plots of the report. */
  note: string
}
