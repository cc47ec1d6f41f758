/** Upper bounds of the buckets, in seconds: from an answer in the same domain to the longest timeouts of routes. */
export const LATENCY_BOUNDS_SECONDS: readonly number[] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5]

/** Counts of one kind of request by how long it took. */
export interface LatencyCounts {
  /** Requests in each bucket, and last those beyond all bounds. */
  buckets: number[]
  totalSeconds: number
}

/** How long requests took, by outcome. Recording costs a few comparisons, so that it can be done for each request. */
export class LatencyBuckets {
  readonly #countsByOutcome = new Map<string, LatencyCounts>()

  /**
   * @param outcome - what became of the request
   * @param seconds - how long it took
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

  /** @returns the counts of each outcome */
  list (): ReadonlyMap<string, LatencyCounts> {
    return this.#countsByOutcome
  }
}
