/** Tolerances of account quotas, which are the same on all hosts. */
export interface QuotaBounds {
  /** Length of the window over which requests are counted. */
  windowMilliseconds: number
  /** Fraction by which the requests of a window may exceed the quota. */
  overage: number
  /** Requests per window beyond that, over all hosts together. */
  allowance: number
}

/** Bounds of a deployment that sets none. */
export const DEFAULT_QUOTA_BOUNDS: QuotaBounds = { windowMilliseconds: 5_000, overage: 0.1, allowance: 20 }

/** Lifetime of a token at an entry host: a token that is used late counts in a later window than the one in which it was granted. */
export const TOKEN_LIFETIME_MILLISECONDS = 1_500
