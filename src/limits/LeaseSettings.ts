import type { Pause } from '../utils/pause.js'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import type { Member } from '../types/Member.js'
import type { LeaseScope } from './LeaseScope.js'
import type { LeaseTimings } from './LeaseTimings.js'

/** Settings and dependencies of {@link BudgetLeases}. */
export interface LeaseSettings {
  /** Name of the local host. */
  self: string
  /** Scopes in which the local host spends or votes. */
  scopes: readonly LeaseScope[]
  /** Returns all hosts as seen by the local membership view. */
  members: () => Member[]
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  log: Log
  counters: Counters
  /** Timings that differ from {@link DEFAULT_LEASE_TIMINGS}. */
  timings?: Partial<LeaseTimings>
  /** Replaces waiting on the timers of the runtime. */
  pause?: Pause
}
