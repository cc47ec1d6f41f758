/** Upper bounds of the buckets, in seconds: from an answer within the same failure domain to the maximum timeouts of routes. */
export const LATENCY_BOUNDS_SECONDS: readonly number[] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5]

/** Latency histogram of the requests with one outcome. */
export interface LatencyCounts {
  /** Number of requests in each bucket; the last bucket has those beyond all bounds. */
  buckets: number[]
  totalSeconds: number
}

/** Latencies of requests by outcome. Recording takes a few comparisons, which is cheap enough for every request. */
export class LatencyBuckets {
  readonly #countsByOutcome = new Map<string, LatencyCounts>()

  /**
   * @param outcome - outcome of the request
   * @param seconds - duration from arrival to answer
   */
  record (outcome: string, seconds: number): void {
    let counts = this.#countsByOutcome.get(outcome)
    if (counts === undefined) {
      counts = { buckets: new Array<number>(LATENCY_BOUNDS_SECONDS.length + 1).fill(0), totalSeconds: 0 }
      this.#countsByOutcome.set(outcome, counts)
    }
    const index = LATENCY_BOUNDS_SECONDS.findIndex((bound) => seconds <= bound)
    counts.buckets[index < 0 ? LATENCY_BOUNDS_SECONDS.length : index]! += 1
    counts.totalSeconds += seconds
  }

  /** @returns the histograms by outcome */
  list (): ReadonlyMap<string, LatencyCounts> {
    return this.#countsByOutcome
  }
}
