import type { HostStatus } from '../../daemon/describeStatus.js'

/** What the asked hosts said of themselves at one moment. */
export interface HostSample {
  /** When the answers had come, in milliseconds from the start of the run. */
  atMilliseconds: number
  /** The hosts that answered. */
  statuses: HostStatus[]
  /** How many did not. */
  missingStatuses: number
}
