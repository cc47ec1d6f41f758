import type { HostMemory } from '../limits/HostMemory.js'
import type { Counters } from '../observe/Counters.js'
import type { LatencyBuckets } from '../observe/LatencyBuckets.js'
import type { Log } from '../observe/Log.js'
import type { RetryBound } from '../placement/RetryShare.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { GuestListenerOptions } from './GuestListener.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'

/** Settings of an entry host; those that can change are read again at each use. */
export interface EntryHostSettings {
  name: string
  domain: string
  region: string
  guestAddress: string
  /** Peer addresses of control hosts. */
  seeds: string[]
  /** Region of each failure domain. */
  regions: Map<string, string>
  retryBound: RetryBound
  /** Second attempts for slow responses per request; by default there are none. */
  secondAttemptRatio?: number
  /** Time within which each host stops to serve withdrawn keys; by default there is no such bound. */
  revocationMilliseconds?: number | undefined
  /** Time from the stop signal to the exit of the process. */
  stopMilliseconds: number
}

/** Dependencies of an entry host. */
export interface EntryHostOptions {
  settings: () => EntryHostSettings
  protocol: UpstreamProtocol
  readFields: GuestListenerOptions['readFields']
  malformedAnswer: (status: number) => string
  callPeer: CallPeer
  random: () => number
  /** Bounds what messages hold. */
  memory: HostMemory
  counters: Counters
  latencies: LatencyBuckets
  log: Log
}
