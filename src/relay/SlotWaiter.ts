import type { RefusalReason } from '../types/RefusalReason.js'
import type { Upstream } from './Upstream.js'

/** A request that waits for a slot. */
export interface SlotWaiter {
  /** When its answer is due, on the clock of `performance.now()`. */
  deadline: number
  /** Whether it must not share an upstream with another suspect. */
  isSuspect: boolean
  grant: (upstream: Upstream) => void
  refuse: (reason: RefusalReason) => void
}
