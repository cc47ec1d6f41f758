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
  /**
   * Amount beyond the rate that all hosts together may spend at once. Each host's bucket holds its part of it, in proportion to
   * its rate, and refills at the full rate. Without it, the burst is part of the rate: no second has more than the rate.
   */
  burst?: number
  /** Amount that the bucket of each host holds in addition to its part of the burst; used only together with `burst`. */
  roundingAllowance?: number
  /**
   * Time over which demand is measured, in milliseconds; longer for budgets of which a host spends rarely. With it, the random
   * variation of single units is added to the measured demand.
   */
  demandWindowMilliseconds?: number
}
