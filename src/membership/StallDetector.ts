/** Notices that the own process stood still: the monotonic clock went on between two checks that should be close. */
export class StallDetector {
  readonly #maximumGapMilliseconds: number
  #checkedAt = performance.now()

  /** @param maximumGapMilliseconds - a longer gap between two checks is a freeze */
  constructor (maximumGapMilliseconds: number) {
    this.#maximumGapMilliseconds = maximumGapMilliseconds
  }

  /** @returns whether the process stood still since the last check */
  check (): boolean {
    const now = performance.now()
    const hasStalled = now - this.#checkedAt > this.#maximumGapMilliseconds
    this.#checkedAt = now
    return hasStalled
  }
}
