import type { PlanDelta } from '../plan/PlanDelta.js'
import type { RoutingPlan } from '../plan/RoutingPlan.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { EntryHost, RegionDemand } from '../registry/EntryHost.js'
import type { UpstreamRecord } from '../registry/UpstreamRecord.js'
import type { PoisonRecord } from '../relay/PoisonGuard.js'

/** What an entry host has of one control host's feed. */
export interface FeedPosition {
  /** Identifies one life of the control host; its revisions mean nothing to another. Empty when none of its news are known. */
  feed: string
  /** Of the table of upstreams. */
  revision: number
  /** Of the list of requests that killed upstreams. */
  lossRevision: number
  /** Newest plan known, from whichever control host: they share the log of plans. */
  planVersion: number
  /** Newest evacuations known, likewise. */
  evacuationRevision: number
}

/** Asks a control host for what changed; the answer waits for a change for a while. */
export interface FollowRequest {
  entryHost: EntryHost
  position: FeedPosition
  /** Longest wait for a change. */
  waitMilliseconds: number
  /** Requests that killed upstreams, seen since the last call. */
  losses: PoisonRecord[]
}

/** An upstream as a control host sees it. */
export interface FollowedUpstream {
  record: UpstreamRecord
  isLost: boolean
}

/** What changed since the position asked for. */
export interface FollowReply {
  position: FeedPosition
  /** The newest plan, if the caller's is older and it gets no difference. */
  plan?: RoutingPlan
  /** What leads from the caller's plan to the newest one. */
  planDelta?: PlanDelta
  /** Evacuated failure domains, if they changed. */
  evacuated?: string[]
  upstreams: FollowedUpstream[]
  /** Whether the feed starts anew: upstreams not in the reply are unknown to the control host. */
  isComplete: boolean
  /** Whether the control host hears the leader of the plans, so that its news are new. */
  isCurrent: boolean
  /** Entry hosts heard lately by the control hosts together. */
  entryHosts: number
  demand: RegionDemand
  /** All control hosts. */
  controlHosts: ControlHost[]
  losses: PoisonRecord[]
}

/** Whether a control host could be followed. */
export interface CurrencyReply {
  isCurrent: boolean
  planVersion: number
}
