import type { FileOperations } from '../agreement/storage/FileOperations.js'
import type { Counters } from '../observe/Counters.js'
import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { QuotaBounds } from '../quota/QuotaBounds.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'

/** Settings of a control host; those that can change are read at each use. */
export interface ControlHostSettings {
  peerAddress: string
  domain: string
  region: string
  dataFolder: string
  /** Peer addresses of the hosts that form the replica group. */
  seeds: string[]
  /** Whether the entire system starts for the first time. */
  isFirstStart: boolean
  /** Number of voters in a complete replica group. */
  wantedVoters: number
  /** Number of control hosts whose disks may be lost at once; undefined for as many as a complete group bears. */
  toleratedLosses: number | undefined
  announcementMilliseconds: number
  /** Region of each failure domain; the control hosts of these domains share the quotas of client accounts. */
  regions?: ReadonlyMap<string, string>
  /** Tolerances of these quotas; the defaults if absent. */
  quotaBounds?: QuotaBounds
}

/** Dependencies of {@link ControlHostProcess}. */
export interface ControlHostOptions {
  settings: () => ControlHostSettings
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** Ends the process, which is then started again; called when a replica that was removed cannot begin anew in place. */
  restart: () => void
  random: () => number
  /** File operations; by default those on the disk of this host. */
  files?: FileOperations
  counters: Counters
  log: Log
}
