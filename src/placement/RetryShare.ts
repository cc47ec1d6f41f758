/** Length of a slice; requests and retries are counted per slice and compared over a window of slices. */
const SLICE_MILLISECONDS = 1_000
/** Fraction of the ratio that hosts use. The rest is a margin for windows that do not align with the slices. */
const USED_RATIO_FRACTION = 0.8
/** Fraction of the allowance that hosts use: a host that restarts loses its count and may spend as much again. */
const USED_ALLOWANCE_FRACTION = 0.5

/** Limit on the retries of all hosts together. */
export interface RetryBound {
  /** Retries per request. */
  ratio: number
  /** Additional retries per window, for all hosts together. */
  allowance: number
  windowMilliseconds: number
}

interface TimeSlice {
  startedAt: number
  requests: number
  retries: number
}

/**
 * One host's share of the retries of one service, or of the second attempts of all services. The shares of all hosts stay
 * within the bound even while hosts are partitioned from each other.
 */
export class RetryShare {
  readonly #bound: RetryBound
  readonly #slices: TimeSlice[] = []

  /** @param bound - limit for all hosts together */
  constructor (bound: RetryBound) {
    this.#bound = bound
  }

  /** Records a request of a guest. */
  recordRequest (now: number): void {
    this.#getCurrentSlice(now).requests += 1
  }

  /**
   * @param now - current time on the clock of `performance.now()`
   * @param entryHosts - number of entry hosts in the system
   * @returns whether one more retry is within this host's share; if so, it is counted
   */
  trySpend (now: number, entryHosts: number): boolean {
    if (!this.maySpend(now, entryHosts)) return false
    this.#getCurrentSlice(now).retries += 1
    return true
  }

  /** @returns whether one more retry is within this host's share, as {@link RetryShare.trySpend}, without counting it */
  maySpend (now: number, entryHosts: number): boolean {
    this.#getCurrentSlice(now)
    const { ratio, allowance } = this.#bound
    const requests = this.#slices.reduce((sum, each) => sum + each.requests, 0)
    const retries = this.#slices.reduce((sum, each) => sum + each.retries, 0)
    return retries + 1 <= USED_RATIO_FRACTION * ratio * requests + USED_ALLOWANCE_FRACTION * allowance / Math.max(1, entryHosts)
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
