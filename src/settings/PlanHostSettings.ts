import type { RetryBound } from '../placement/RetryShare.js'
import type { QuotaBounds } from '../quota/QuotaBounds.js'

/** Checked settings of an entry host or control host that follows a routing plan. Addresses are `ip:port`. */
export interface PlanHostSettings {
  name: string
  domain: string
  region: string
  /** Folder of the state that must survive a restart; control hosts have one. */
  dataFolder: string | undefined
  /** Address for calls from other hosts. */
  peerAddress: string
  /** Address of an entry host for guests. */
  guestAddress: string | undefined
  /** Address at which an entry host reports its readiness. */
  readinessAddress: string | undefined
  /** Address of a control host for operators and upstreams. */
  controlAddress: string | undefined
  /** Address at which guests look up entry hosts. */
  directoryAddress: string | undefined
  /** Address at which counters and latencies are read. */
  metricsAddress: string | undefined
  /** Peer addresses of some control hosts, sorted: those that a host knows when it starts. */
  seeds: string[]
  /** Whether the system as a whole starts for the first time. */
  isFirstStart: boolean
  /** Number of control hosts whose disks may be lost at once; undefined for as many as a complete group bears. */
  toleratedLosses: number | undefined
  /** Interval between the announcements of an upstream. */
  announcementMilliseconds: number
  /** Time from the request to stop to the end of the process. */
  stopMilliseconds: number
  retryBound: RetryBound
  /** Second attempts for slow responses per repeatable request; 0 for none. */
  secondAttemptRatio: number
  /** Time from the acknowledgement of a plan after which no host serves a key that the plan withdrew, in milliseconds; undefined without that guarantee. */
  revocationMilliseconds: number | undefined
  /** Tolerances of the quotas of client accounts. */
  quotaBounds: QuotaBounds
  /** Region of each failure domain by name. */
  regions: Map<string, string>
}
