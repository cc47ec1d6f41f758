/** Detects that the local process was stalled: the monotonic clock advanced further between two checks than expected. */
export class StallDetector {
  readonly #maximumGapMilliseconds: number
  #checkedAt = performance.now()

  /** @param maximumGapMilliseconds - maximum gap between two checks; a longer one is a stall */
  constructor (maximumGapMilliseconds: number) {
    this.#maximumGapMilliseconds = maximumGapMilliseconds
  }

  /** @returns whether the process was stalled since the last check */
  check (): boolean {
    const now = performance.now()
    const hasStalled = now - this.#checkedAt > this.#maximumGapMilliseconds
    this.#checkedAt = now
    return hasStalled
  }
}
