import type { HostIdentity } from '../types/HostIdentity.js'

/** Another host that the settings list. */
export interface PeerSettings extends HostIdentity {
  /** Whether the host has a replica of the accepted sheets. */
  replica: boolean
  /** Address for connections to the host; differs from the peer address behind network address translation. */
  dialAddress: string
}

/** Limits on what a host accepts and stores. */
export interface LimitSettings {
  requestBodyBytes: number
  headerBytes: number
  answerBufferBytes: number
  sheetBytes: number
  queueLength: number
  retryPercent: number
  maximumHostClockDifferenceMilliseconds: number
}

/** Deadlines and intervals. */
export interface TimingSettings {
  defaultDeadlineMilliseconds: number
  maximumDeadlineMilliseconds: number
  announcementMilliseconds: number
  leaseMilliseconds: number
  lookupLifetimeSeconds: number
  stopDeadlineMilliseconds: number
}

/** Checked settings of one host. */
export interface Settings {
  host: HostIdentity
  operatorAddress: string
  /** Folder of the state that must survive a restart; hosts with one have a replica of the accepted sheets. */
  dataFolder: string | undefined
  peers: PeerSettings[]
  peerKey: string
  /** Token of each operator by name. */
  operatorTokens: Map<string, string>
  metricsAddress: string | undefined
  limits: LimitSettings
  timings: TimingSettings
}
