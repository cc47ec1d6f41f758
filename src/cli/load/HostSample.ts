import type { HostStatus } from '../../daemon/describeStatus.js'

/** Statuses of the sampled hosts at one time. */
export interface HostSample {
  /** Arrival of the last answer, in milliseconds from the start of the run. */
  atMilliseconds: number
  /** Statuses of the hosts that answered. */
  statuses: HostStatus[]
  /** Number of hosts that did not answer. */
  missingStatuses: number
}
