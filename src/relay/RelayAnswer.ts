import type { Readable } from 'node:stream'
import type { AnswerReport } from '../steering/PoolReport.js'
import type { Outcome } from '../types/Outcome.js'
import type { RefusalReason } from '../types/RefusalReason.js'
import type { HeaderField } from './RelayedRequest.js'

/** Answer to a relayed request. */
export interface RelayAnswer {
  outcome: Outcome
  /** Why there is no answer of an upstream; undefined when the outcome is `ran`. */
  reason: RefusalReason | undefined
  status: number
  headers: HeaderField[]
  /** The complete body, or a stream of one larger than the buffer; the stream fails when the upstream breaks off. */
  body: Buffer | Readable
  /** Whether only the end of the upstream's connection delimits the body; the guest must receive it delimited the same way. */
  endsWithConnection?: boolean
  /** Time after which the guest should come back, in milliseconds; undefined when nothing is known of it. */
  retryAfterMilliseconds?: number
  /** Whether a retry was already taken from the budget, because the request was abandoned at an owner that seemed lost. */
  retryTaken?: boolean
  /** Run time on the upstream, absent when none ran it; known only at the owner. */
  run?: { runMilliseconds: number }
  /** The owner's report on its pool, undefined when no owner answered. */
  pool: AnswerReport | undefined
}
