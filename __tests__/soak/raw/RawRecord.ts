/** How an answer ended at a raw guest, as its framing tells. */
export enum AnswerEnd {
  Whole = 'whole',
  /** The connection ended within the answer. */
  Cut = 'cut',
  /** The connection ended before the answer. */
  None = 'none',
  /** The bytes are no answer. */
  Malformed = 'malformed',
  /** The guest waited no longer. */
  GivenUp = 'given-up'
}

/** A request of a raw guest and its answer. Times are those of `performance.now()`, in milliseconds. */
export interface RawExchange {
  attempt: string
  entryHost: number
  /** Whether the connection had answered a request before. */
  isKept: boolean
  isIdempotent: boolean
  isSlowReader: boolean
  /** When the last byte of the request was written; the beginning of the request until then. */
  sentAt: number
  endedAt: number
  end: AnswerEnd
  /** Code of the error that ended the connection. */
  error: string | undefined
  status: number | undefined
  /** Identifier and signature in the answer's head. */
  answeredAttempt: string | undefined
  signature: string | undefined
  bodyBytes: number
  digest: string
  /** Beginning of the body; an upstream's names the attempt. */
  beginning: string
}

/** Bytes that came while no request waited on a connection. */
export interface StrayBytes {
  entryHost: number
  at: number
  /** The last request of the connection. */
  attempt: string | undefined
  text: string
}

/** A request that an upstream began to work on. */
export interface RawRun {
  attempt: string
  upstream: string
  startedAt: number
  /** When its answer was written, or its connection ended; infinite until then. */
  endedAt: number
  /** What the upstream does, for the reader of a record. */
  script: string
  status: number
  signature: string
  /** Whether the upstream ended its answer early or crashed. */
  isBrokenOff: boolean
  /** Whether the host ended the connection before the answer was written. */
  isAbandoned: boolean
  /** Whether the upstream wrote an earlier answer of that connection once more. */
  isBehindCopy: boolean
  /** Whether method, path and body are those that the guest sent; undefined until the whole body was read. */
  isAsSent: boolean | undefined
}

/** A SIGHUP of a host. */
export interface Reload {
  host: string
  at: number
}

/** What raw guests and raw upstreams saw. */
export interface RawRecord {
  exchanges: RawExchange[]
  strayBytes: StrayBytes[]
  runs: RawRun[]
  reloads: Reload[]
}
