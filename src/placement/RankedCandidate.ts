/** An upstream that may take a request. */
export interface RankedCandidate {
  /** Requests that it has, per slot, as far as this host knows. */
  utilization: number
  /** Whether this host has seen it handle the object lately. */
  isWarm: boolean
  /** Whether it has just started, or forgotten what it held, and bears few requests. */
  isCold: boolean
}
