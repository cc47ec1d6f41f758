import type { RawRecord } from './raw/RawRecord.js'
import type { SoakPlan } from './SoakPlan.js'

/** One sending of an order to a control host. Times are those of `performance.now()`, in milliseconds. */
export interface Attempt {
  controlHost: number
  sentAt: number
  /** When the answer came, or the operator stopped waiting for it. */
  endedAt: number
  /** Status of the answer, undefined without one. */
  status: number | undefined
}

/** A plan that an operator submits, with all sendings of the same bytes. */
export interface PlanOrder {
  id: number
  plan: SoakPlan
  body: string
  isValid: boolean
  attempts: Attempt[]
}

/** An evacuation of a failure domain that begins or finishes. */
export interface EvacuationOrder {
  domain: string
  isEvacuated: boolean
  attempts: Attempt[]
}

/** A request of a guest. */
export interface GuestObservation {
  entryHost: number
  /** Number of the entry host's process run. */
  run: number
  path: string
  sentAt: number
  answeredAt: number
  /** The service that ran the request, {@link NO_ROUTE} for a 404; undefined when the answer does not tell. */
  handling: string | undefined
}

/** A read of the plan at a control host. */
export interface PlanRead {
  controlHost: number
  sentAt: number
  answeredAt: number
  status: number | undefined
  text: string
}

/** A request that arrived at an upstream. */
export interface Arrival {
  entryHost: number
  upstream: string
  domain: string
  arrivedAt: number
}

/** A departure of an upstream that a control host acknowledged. */
export interface Departure {
  upstream: string
  acknowledgedAt: number
}

/** A time in which a host did not run undisturbed. */
export interface Disturbance {
  host: string
  kind: string
  from: number
  /** When it ended; infinite while it lasts. */
  to: number
}

/** A process that ended though nobody ended it. */
export interface OwnEnd {
  host: string
  at: number
  code: number | null
  signal: string | null
}

/** All that clients, operators and upstreams of one run saw, and all faults of the run. */
export interface SoakRecord extends RawRecord {
  orders: PlanOrder[]
  evacuations: EvacuationOrder[]
  departures: Departure[]
  observations: GuestObservation[]
  arrivals: Arrival[]
  reads: PlanRead[]
  disturbances: Disturbance[]
  ends: OwnEnd[]
  /** Largest resident memory of each host's processes, in KiB, and when it was seen. */
  peaks: Map<string, { at: number, kib: number }>
  /** When the last fault had ended and all processes were back. */
  allBackAt: number
  /** Routes of the last plan, and when each was first served at each entry host after that. */
  finalRoutes: Array<{ entryHost: number, path: string, servedAt: number | undefined }>
}

/** A rule that a run broke. */
export interface Breach {
  check: string
  at: number
  detail: string
}

/** @returns a record without any event */
export function createRecord (): SoakRecord {
  return { orders: [], evacuations: [], departures: [], observations: [], arrivals: [], reads: [], disturbances: [], ends: [], peaks: new Map(), exchanges: [], strayBytes: [], runs: [], reloads: [], allBackAt: Number.POSITIVE_INFINITY, finalRoutes: [] }
}
