/** Asks a voter to promise that it supports no other candidate for the duration of a promise. */
export interface PromiseRequest {
  scope: string
  candidate: string
  /** Identifies one uninterrupted candidacy; also the name of its term. */
  candidacy: string
}

/** Answer to a {@link PromiseRequest}. */
export interface PromiseAnswer {
  promised: boolean
}

/** A client's request for a lease of one budget. */
export interface LeaseDemand {
  budget: string
  /** Amount per second that the client would spend in excess of the part of its static share that it does not lend. */
  wantedPerSecond: number
  /** Amount per second of its static share that the client lends. */
  lentPerSecond: number
  /** Amount per second of the lease that the client currently holds; 0 for none. */
  heldPerSecond: number
}

/** Compact form of a {@link LeaseDemand}: the budget, and the wanted, held and lent amounts per second. */
export type DemandRow = [budget: string, wantedPerSecond: number, heldPerSecond: number, lentPerSecond: number]

/** Asks the holder for leases that replace those held. A client has at most one such request in flight. */
export interface LeaseRequest {
  scope: string
  /** Identifies one run of one host. */
  client: string
  /** Increases with each request of the client. */
  serial: number
  /** Term of the holder as known to the client; empty when it knows none. */
  term: string
  /** The holder's time of the latest answer in this term, at which the client's loans start; 0 when there is none. */
  answeredAt: number
  demands: LeaseDemand[]
  /** Compact form that replaces the demands; sent only to a holder that declared in this term that it reads rows. */
  rows?: DemandRow[]
}

/** One lease, in addition to the static share. */
export interface LeaseGrant {
  budget: string
  amountPerSecond: number
}

/** Answer to a {@link LeaseRequest}. */
export interface LeaseAnswer {
  /** Term of the answering host; empty when it is not the holder. If it differs from the term of the request, nothing is granted. */
  term: string
  /** Name of the holder as known to the answering host; empty when it knows none. */
  holder: string
  /** Time of the answer on the holder's monotonic clock, in milliseconds. */
  time: number
  /** New leases. The lease of a budget that is not listed stays as it is. */
  grants: LeaseGrant[]
  /** Compact form that replaces the grants: one amount per row of the request, in the same order; null where the lease stays as it is. */
  amounts?: Array<number | null>
  /** Whether the holder reads {@link DemandRow}s. */
  readsRows?: boolean
}

/** Returns the leases of a client or the promises to a candidate. */
export interface LeaseReturn {
  scope: string
  /** The client that returns leases, or the candidate. */
  client: string
  /** Candidacy that ends; empty for none. */
  candidacy: string
  /** Whether the client returns its leases; it has stopped spending from them. */
  leases: boolean
}
