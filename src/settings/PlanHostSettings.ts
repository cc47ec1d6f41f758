import type { RetryBound } from '../placement/RetryShare.js'

/** Checked settings of an entry host or a control host that follows a routing plan. */
export interface PlanHostSettings {
  name: string
  domain: string
  region: string
  /** Folder of the state that must survive; control hosts have one. */
  dataFolder: string | undefined
  /** Where other hosts call this one, `ip:port`. */
  peerAddress: string
  /** Where guests connect. */
  guestAddress: string | undefined
  /** Where the readiness of an entry host is asked for. */
  readinessAddress: string | undefined
  /** Where operators and upstreams call a control host. */
  controlAddress: string | undefined
  /** Where guests ask for entry hosts. */
  directoryAddress: string | undefined
  /** Where counters and latencies are read. */
  metricsAddress: string | undefined
  /** Peer addresses of some control hosts, sorted: the first ones that a host knows. */
  seeds: string[]
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean
  /** Period of the upstreams' announcements. */
  announcementMilliseconds: number
  /** Time from the order to stop to the end of the process. */
  stopMilliseconds: number
  retryBound: RetryBound
  /** Region of each failure domain. */
  regions: Map<string, string>
}
