import type { RequestClass } from '../types/RequestClass.js'

/** A header field as received. */
export interface HeaderField {
  name: string
  value: string
}

/** A guest's request that is relayed to an upstream. */
export interface RelayedRequest {
  /** Identifier assigned by the first host; it is on every log line and answer. */
  id: string
  service: string
  method: string
  /** Path and query below the service. */
  path: string
  headers: HeaderField[]
  body: Buffer
  requestClass: RequestClass
  /** Idempotency key of a one-time action, with its ticket prefix. */
  key: string | undefined
  /** Time at which the answer is due, on the clock of `performance.now()`. */
  deadline: number
  /** Digest of service, method, path and body. */
  fingerprint: string
  /** Whether it may wait for a free slot. */
  mayWait: boolean
  /** Returns whether it may still start; false once the claim of a one-time action is too old. */
  mayStart: () => boolean
  /** Aborted when the guest disconnects. */
  cancelled: AbortSignal
  /** Calls a function once the receiver has the answer, or its connection is closed. */
  releaseAfter?: (release: () => void) => void
}
