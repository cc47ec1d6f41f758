import type { CrashReport } from '../crashes/CrashReport.js'
import type { PlanDelta } from '../plan/PlanDelta.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { EntryHost, RegionDemand } from '../registry/EntryHost.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'

/** Revisions up to which an entry host has received the feed of one control host. */
export interface FeedPosition {
  /** Identifies one process run of the control host; its revisions are meaningless in another run. Empty before the first reply. */
  feed: string
  /** Revision of the table of upstreams. */
  revision: number
  /** Revision of the table of requests under which upstreams ended. */
  crashRevision: number
  /** Version of the newest plan known, from any control host: they share the replicated log of plans. */
  planVersion: number
  /** Revision of the newest evacuations known, also from any control host. */
  evacuationRevision: number
}

/** Asks a control host for changes; the reply is held back until there is a change or the wait is over. */
export interface FollowRequest {
  entryHost: EntryHost
  position: FeedPosition
  /** Maximum wait for a change. */
  waitMilliseconds: number
  /** Always empty; hosts of version 0.1.0 before the exchange of crashes need the field. */
  losses: []
}

/** An upstream as a control host knows it. */
export interface FollowedUpstream {
  record: UpstreamRecord
  isLost: boolean
}

/** Changes since the position in the request. */
export interface FollowReply {
  position: FeedPosition
  /** The newest plan, if the caller's is older and no delta is sent. */
  plan?: RoutingPlan
  /** Delta from the caller's plan to the newest one. */
  planDelta?: PlanDelta
  /** Evacuated failure domains, if they changed. */
  evacuated?: string[]
  upstreams: FollowedUpstream[]
  /** Whether the reply holds the full state: upstreams not in it are unknown to the control host. */
  isComplete: boolean
  /** Whether the control host is in contact with the leader of the plan log, so that its state is up to date. */
  isCurrent: boolean
  /** Number of entry hosts that reported recently, to any control host. */
  entryHosts: number
  demand: RegionDemand
  /** All control hosts. */
  controlHosts: ControlHost[]
  /** What the control host knows of upstreams that ended; absent from hosts of version 0.1.0 before the exchange of crashes. */
  crashes?: CrashReport
  /** Always empty, for those hosts. */
  losses: []
}

/** Tells whether a control host is up to date, so that it can be followed. */
export interface CurrencyReply {
  isCurrent: boolean
  planVersion: number
}
