/** Asks a voter to promise that it supports no other holder for a while. */
export interface PromiseRequest {
  scope: string
  candidate: string
  /** Identifies this unbroken candidacy. */
  candidacy: string
}

/** Answer to a {@link PromiseRequest}. */
export interface PromiseAnswer {
  promised: boolean
}

/** What a client wants of one budget. */
export interface LeaseDemand {
  budget: string
  /** Amount per second that the client would spend above what it keeps of its static share. */
  wantedPerSecond: number
  /** Amount per second of its static share that the client lends. */
  lentPerSecond: number
  /** Amount per second of the lease that the client holds now, 0 for none. */
  heldPerSecond: number
}

/** A {@link LeaseDemand} on the way to a holder that reads it: budget, wanted, held and lent, each per second. */
export type DemandRow = [budget: string, wantedPerSecond: number, heldPerSecond: number, lentPerSecond: number]

/** Asks the holder for new leases in place of those held. A client has one such request under way at most. */
export interface LeaseRequest {
  scope: string
  /** Identifies one run of one host. */
  client: string
  /** Grows with each request of the client. */
  serial: number
  /** Term of the holder as the client knows it, empty when it knows none. */
  term: string
  /** Time of the latest answer in this term, from which on the client lends, 0 when there is none. */
  answeredAt: number
  demands: LeaseDemand[]
  /** The demands in short, in place of them; only to a holder that told in this term that it reads them. */
  rows?: DemandRow[]
}

/** One lease, on top of the static share. */
export interface LeaseGrant {
  budget: string
  amountPerSecond: number
}

/** Answer to a {@link LeaseRequest}. */
export interface LeaseAnswer {
  /** Term of the answering holder, empty when it is not the holder. With another term than the request's nothing is granted. */
  term: string
  /** Name of the holder as the answering host knows it, empty when it knows none. */
  holder: string
  /** The holder's monotonic time of the answer. */
  time: number
  /** A budget without a grant keeps the lease that it has. */
  grants: LeaseGrant[]
  /** The grants for the rows of the request, in their order, in place of the grants; null where the lease stays as it is. */
  amounts?: Array<number | null>
  /** Whether the holder reads rows. */
  readsRows?: boolean
}

/** Gives back what a host holds or was promised. */
export interface LeaseReturn {
  scope: string
  /** The client that returns leases, or the candidate. */
  client: string
  /** Candidacy that ends, empty for none. */
  candidacy: string
  /** Whether the host gave up its leases; it spends nothing of them any more. */
  leases: boolean
}
