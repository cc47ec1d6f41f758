import type { UpstreamRecord } from './UpstreamRecord.js'

/** A record with the local state of the table that holds it. Times are on the clock of `performance.now()`. */
export interface UpstreamEntry {
  record: UpstreamRecord
  /** When the upstream last announced itself, to any control host. */
  lastAnnouncedAt: number
  /** End of its cold phase. */
  coldUntil: number
  /** Whether it has been silent for several of its announcement periods. */
  isLost: boolean
  /** Revision of the table at the last change of this entry that followers need to know. */
  revision: number
}
