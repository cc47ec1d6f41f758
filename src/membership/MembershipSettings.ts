import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import type { MembershipTimings } from './MembershipTimings.js'
import type { Pause } from '../utils/pause.js'

/** Settings and dependencies of {@link GossipMembership}. */
export interface MembershipSettings {
  /** Identity of the local host. */
  self: HostIdentity
  /** Addresses, for calls between hosts, of the hosts to contact first; the local address is skipped. */
  seeds: readonly string[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
  random: () => number
  log: Log
  counters: Counters
  /** Timings that differ from {@link DEFAULT_MEMBERSHIP_TIMINGS}. */
  timings?: Partial<MembershipTimings>
  /** Replaces waiting on the timers of the runtime. */
  pause?: Pause
}
