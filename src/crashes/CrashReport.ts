import type { SimultaneousEnd } from './SimultaneousEnds.js'

/** Upstream processes that ended while they ran one request. */
export interface CrashRecord {
  /** Digest of the request, see {@link fingerprintRequest}. */
  fingerprint: string
  /** Upstream processes that ended, as {@link getIncarnation} names them. */
  lostUpstreams: string[]
  /** Those of them after whose end an upstream ran the request completely: it did not end them. */
  excusedUpstreams: string[]
}

/** What one host tells another about upstreams that ended. Reports may arrive late, twice and in any order. */
export interface CrashReport {
  requests: CrashRecord[]
  /** Upstream processes that could not be reached, so that hosts with requests in flight there should look. */
  unreachableUpstreams: string[]
  /** Upstreams that ended at the same moment; absent when there are none, and from hosts that do not look for them. */
  simultaneousEnds?: SimultaneousEnd[]
  /** Ends, as the losses name them, that were assumed wrongly; absent as above. */
  withdrawnEnds?: string[]
}
