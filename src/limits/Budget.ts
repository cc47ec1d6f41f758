/** A named limit in units per second that several hosts share. */
export interface Budget {
  /** Unique among the budgets of a scope. */
  name: string
  /** Maximum that all hosts together may spend per second. */
  amountPerSecond: number
  /** Smallest amount of a single spend; the token bucket of each host holds at least this much. */
  unit: number
  /** Maximum stall of a host, in seconds, whose unspent part it may spend afterwards; none by default. */
  catchUpSeconds?: number
}
