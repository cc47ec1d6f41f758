import { readClocks } from './ClockReading.js'

/** How much more than the monotonic clock the wall clock advances between two checks that lie about a suspension. */
const MINIMUM_SUSPENSION_MILLISECONDS = 250

/**
 * Detects that the machine was suspended. Its monotonic clock stood still, so that timeouts and leases measured by it last
 * longer than they should. A wall clock that is set forward counts as a suspension as well.
 */
export class SuspensionDetector {
  #lastDifference = getDifference()
  #resumedAt = Number.NEGATIVE_INFINITY
  #count = 0

  /** Number of suspensions detected so far; to be read several times a second. */
  get count (): number {
    this.#check()
    return this.#count
  }

  /** @returns milliseconds on the monotonic clock since a suspension was detected, infinite when none was; to be called several times a second */
  get millisecondsSinceResume (): number {
    this.#check()
    return performance.now() - this.#resumedAt
  }

  #check (): void {
    const difference = getDifference()
    if (difference - this.#lastDifference > MINIMUM_SUSPENSION_MILLISECONDS) {
      this.#resumedAt = performance.now()
      this.#count += 1
    }
    this.#lastDifference = difference
  }
}

function getDifference (): number {
  const { monotonic, wall } = readClocks()
  return wall - monotonic
}
