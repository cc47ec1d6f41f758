import type { RequestClass } from '../../types/RequestClass.js'
import type { DrainSummary } from './DrainSummary.js'
import type { HeadroomSummary } from './HeadroomSummary.js'
import type { LatencySummary } from './LatencySummary.js'
import type { ScheduleEntry } from './ScheduleEntry.js'

/** Figures of one load run. */
export interface LoadSummary {
  seed: number
  durationSeconds: number
  streams: StreamSummary[]
  seconds: SecondSummary[]
  schedule: ScheduleEntry[]
  /** Delay of the load tool itself, from the scheduled time to the sending. */
  sendDelay: LatencySummary
  /** Utilization of slots, caps and links; absent when no operator interface was given. */
  headroom?: HeadroomSummary
  /** Drains and leaves during the run; absent when no operator interface was given. */
  drains?: DrainSummary[]
}

/** Figures of one service and request class. */
export interface StreamSummary {
  service: string
  requestClass: RequestClass
  requests: number
  ran: number
  notRun: number
  unknown: number
  /** Requests without a complete answer before their deadline. */
  unanswered: number
  /** Numbers of requests with an outcome other than `ran`, by reason. */
  reasons: Record<string, number>
  /** Mean number of attempts per request. */
  attemptsPerRequest: number
  /** Latencies of the requests that ran. */
  latency: LatencySummary
}

/** Figures of the requests that were scheduled in one second of a run. */
export interface SecondSummary {
  second: number
  ran: number
  failed: number
  latency: LatencySummary
}
