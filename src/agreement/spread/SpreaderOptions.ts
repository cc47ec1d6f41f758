import type { Counters } from '../../observe/Counters.js'
import type { Log } from '../../observe/Log.js'
import type { CallPeer } from '../../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../../transport/PeerHandler.js'
import type { HostIdentity } from '../../types/HostIdentity.js'
import type { FileOperations } from '../storage/FileOperations.js'
import type { SpreaderTimings } from './SpreaderTimings.js'
import type { SpreadPeer } from './SpreadPeer.js'

/** Options of a {@link SheetSpreader}. */
export interface SpreaderOptions {
  identity: HostIdentity
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** @returns peer addresses of the replicas, nearest first */
  replicaAddresses: () => string[]
  /** @returns the other live hosts of this host's failure domain */
  domainPeers: () => SpreadPeer[]
  /** @returns the live hosts of other failure domains that are known to this host */
  otherPeers: () => SpreadPeer[]
  /** On a host with a replica: whether the replica has applied everything that its leader committed. */
  isCurrent?: () => boolean
  /** Folder in which the sheet in force is stored for a restart; undefined on a host without disk. */
  folder?: string
  files: FileOperations
  /** @returns a number from 0 up to but not including 1 */
  random: () => number
  log: Log
  counters: Counters
  timings?: Partial<SpreaderTimings>
  /** Compresses a content, by default with {@link packQuickly}. */
  pack?: (content: string) => Promise<string>
}
