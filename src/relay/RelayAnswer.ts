import type { Readable } from 'node:stream'
import type { AnswerReport } from '../steering/PoolReport.js'
import type { Outcome } from '../types/Outcome.js'
import type { RefusalReason } from '../types/RefusalReason.js'
import type { HeaderField } from './RelayedRequest.js'

/** What became of a relayed request. */
export interface RelayAnswer {
  outcome: Outcome
  /** Why no upstream's answer is given, unless the outcome is `ran`. */
  reason: RefusalReason | undefined
  status: number
  headers: HeaderField[]
  /** The whole body, or a stream of one larger than the buffer; the stream fails when the upstream breaks off. */
  body: Buffer | Readable
  /** Whether the upstream's answer had no length but the end of its connection; the guest must get it that way, too. */
  endsWithConnection?: boolean
  /** Whether a retry was taken from the budget already, when the request was given up at an owner that seemed lost. */
  retryTaken?: boolean
  /** How long an upstream ran it, absent when none did; known at its owner only. */
  run?: { runMilliseconds: number }
  /** What the owner told of its pool, undefined when no owner answered. */
  pool: AnswerReport | undefined
}
