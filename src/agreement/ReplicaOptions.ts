import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import type { ReplicaLimits } from './ReplicaLimits.js'
import type { ReplicaTimings } from './ReplicaTimings.js'
import type { FileOperations } from './storage/FileOperations.js'

/** Options of a {@link ReplicatedLog}. Values and results are transferred as JSON. */
export interface ReplicaOptions<Value, Result> {
  /** Data folder, used by this replica only. */
  folder: string
  files: FileOperations
  /** Address of this replica for peer calls, `ip:port`. */
  address: string
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Applies a committed value; must be deterministic and depend only on the earlier values. */
  apply: (value: Value, index: number) => Result
  /** @returns the state of the state machine, as a JSON value */
  snapshot: () => unknown
  /** Replaces the state of the state machine; undefined is the state before the first value. */
  restore: (state: unknown) => void
  /** @returns a number from 0 up to but not including 1 */
  random: () => number
  /** @returns a new random identity */
  makeIdentity: () => string
  log: Log
  counters: Counters
  timings?: Partial<ReplicaTimings>
  limits?: Partial<ReplicaLimits>
}
