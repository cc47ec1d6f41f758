/** An upstream that a request may be sent to. */
export interface RankedCandidate {
  /** Requests running or waiting there per slot, as far as this host knows. */
  utilization: number
  /** Whether this host has seen it handle the object recently. */
  isWarm: boolean
  /** Whether it has just started, or lost what it held in memory, and can take only few requests. */
  isCold: boolean
}
