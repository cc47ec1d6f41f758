import type { UpstreamRecord } from './UpstreamRecord.js'

/** A record with what its holder knows beside it. Times are on the clock of `performance.now()`. */
export interface UpstreamEntry {
  record: UpstreamRecord
  /** When the upstream was last heard, by any control host. */
  lastAnnouncedAt: number
  /** Until when it is cold. */
  coldUntil: number
  /** Whether it has not been heard for several of its announcement periods. */
  isLost: boolean
  /** Revision of the table at its last change that followers need to know. */
  revision: number
}
