/** Length of the window in which requests and retries are compared, in slices of a second. */
const SLICE_MILLISECONDS = 1_000
/** Part of the ratio that hosts use; the rest is for windows that begin and end elsewhere than the slices here. */
const USED_RATIO_FRACTION = 0.8
/** Part of the allowance that hosts use: one that restarts forgets what it has spent, and spends as much again. */
const USED_ALLOWANCE_FRACTION = 0.5

/** The bound on retries that all hosts share. */
export interface RetryBound {
  /** Retries per request. */
  ratio: number
  /** Retries per window beside that, for all hosts together. */
  allowance: number
  windowMilliseconds: number
}

interface TimeSlice {
  startedAt: number
  requests: number
  retries: number
}

/**
 * One host's share of the retries of one service, so that the shares of all hosts add up to the bound whoever is
 * cut off from whom.
 */
export class RetryShare {
  readonly #bound: RetryBound
  readonly #slices: TimeSlice[] = []

  /** @param bound - the bound for all hosts together */
  constructor (bound: RetryBound) {
    this.#bound = bound
  }

  /** Notes a request of a guest. */
  recordRequest (now: number): void {
    this.#getCurrentSlice(now).requests += 1
  }

  /**
   * @param now - on the clock of `performance.now()`
   * @param entryHosts - entry hosts of the system
   * @returns whether one more retry is within this host's share; if so, it is spent
   */
  trySpend (now: number, entryHosts: number): boolean {
    const slice = this.#getCurrentSlice(now)
    const { ratio, allowance } = this.#bound
    const requests = this.#slices.reduce((sum, each) => sum + each.requests, 0)
    const retries = this.#slices.reduce((sum, each) => sum + each.retries, 0)
    if (retries + 1 > USED_RATIO_FRACTION * ratio * requests + USED_ALLOWANCE_FRACTION * allowance / Math.max(1, entryHosts)) return false
    slice.retries += 1
    return true
  }

  #getCurrentSlice (now: number): TimeSlice {
    const oldestStart = now - this.#bound.windowMilliseconds - SLICE_MILLISECONDS
    while (this.#slices[0] !== undefined && this.#slices[0].startedAt < oldestStart) this.#slices.shift()
    const last = this.#slices[this.#slices.length - 1]
    if (last !== undefined && now - last.startedAt < SLICE_MILLISECONDS) return last
    const slice = { startedAt: now, requests: 0, retries: 0 }
    this.#slices.push(slice)
    return slice
  }
}
