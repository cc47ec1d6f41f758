const IGNORED_LAG_MILLISECONDS = 20
const MAXIMUM_LAG_MILLISECONDS = 250
/** Part of an earlier lateness that counts after the next measurement. */
const DECAY_FACTOR = 0.9
/** A call and its answer wait for this process several times. */
const WAITS_PER_CALL = 4

/** Measures how late the own process runs its timers, for want of processor time, and how much patience that asks for. */
export class EventLoopLag {
  #recentMilliseconds = 0

  /**
   * Takes in one measurement.
   *
   * @param milliseconds - how much later than asked for a wait ended
   */
  record (milliseconds: number): void {
    this.#recentMilliseconds = Math.max(Math.min(milliseconds, MAXIMUM_LAG_MILLISECONDS), this.#recentMilliseconds * DECAY_FACTOR)
  }

  /** Milliseconds by which others are waited for longer, since their answers may lie here unread. */
  get extraWaitMilliseconds (): number {
    return Math.max(0, this.#recentMilliseconds - IGNORED_LAG_MILLISECONDS) * WAITS_PER_CALL
  }
}
