const IGNORED_LAG_MILLISECONDS = 20
const MAXIMUM_LAG_MILLISECONDS = 250
/** Factor by which an earlier lag decays with each measurement. */
const DECAY_FACTOR = 0.9
/** Number of times that a call and its answer wait for the event loop of this process. */
const WAITS_PER_CALL = 4

/** Measures how late the local process runs its timers for lack of processor time, and derives an extension of timeouts from it. */
export class EventLoopLag {
  #recentMilliseconds = 0

  /**
   * Records one measurement.
   *
   * @param milliseconds - time by which a timer fired later than requested
   */
  record (milliseconds: number): void {
    this.#recentMilliseconds = Math.max(Math.min(milliseconds, MAXIMUM_LAG_MILLISECONDS), this.#recentMilliseconds * DECAY_FACTOR)
  }

  /** Time by which timeouts for other hosts are extended, as their answers may already be waiting in this process. */
  get extraWaitMilliseconds (): number {
    return Math.max(0, this.#recentMilliseconds - IGNORED_LAG_MILLISECONDS) * WAITS_PER_CALL
  }
}
