import type { KnownState } from '../follow/KnownState.js'
import type { StopWindow } from '../limits/StopWindow.js'
import type { Counters } from '../observe/Counters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import type { RetryBound } from '../placement/RetryShare.js'
import type { AccountQuota } from '../quota/AccountQuota.js'
import type { ServiceAdmission } from './ServiceAdmission.js'
import type { SuspectGate } from './SuspectGate.js'
import type { UpstreamLoads } from './UpstreamLoads.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'
import type { UpstreamRuns } from './UpstreamRuns.js'
import type { UpstreamSender } from './UpstreamSender.js'

/** Dependencies of an entry relay. */
export interface EntryRelayOptions {
  hostName: string
  domain: string
  region: string
  known: KnownState
  loads: UpstreamLoads
  admission: ServiceAdmission
  /** Quotas of client accounts over all hosts. */
  quota: Pick<AccountQuota, 'take'>
  protocol: UpstreamProtocol
  gate: Pick<SuspectGate, 'enter' | 'isSuspect' | 'admitsCopy'>
  runs: Pick<UpstreamRuns, 'isProven'>
  sender: UpstreamSender
  stopWindow: StopWindow
  retryBound: () => RetryBound
  /** @returns second attempts per request; 0, as by default, for none */
  secondAttemptRatio?: () => number
  regionOf: (domain: string) => string | undefined
  random: () => number
  counters: Counters
  latencies: LatencyBuckets
  /** @returns longest recent delay of the event loop, in milliseconds */
  loopLateMilliseconds: () => number
  log: Log
}
