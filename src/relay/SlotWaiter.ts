import type { RefusalReason } from '../types/RefusalReason.js'
import type { Upstream } from './Upstream.js'

/** A request that waits for a slot. */
export interface SlotWaiter {
  /** Time at which its answer is due, on the clock of `performance.now()`. */
  deadline: number
  /** Whether the request is a suspect, which must not share an upstream with another suspect. */
  isSuspect: boolean
  grant: (upstream: Upstream) => void
  refuse: (reason: RefusalReason) => void
}
