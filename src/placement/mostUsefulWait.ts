/** Part of the latency objective that a request may wait even where its run alone takes longer. */
const LEAST_SHARE = 0.25

/** What the longest useful wait depends on, in milliseconds. */
export interface WaitQuestion {
  /** What is left of the latency objective. */
  objective: number
  /** What is left until the answer is due. */
  remaining: number
  /** Mean time of a run, with the way there and back. */
  expectedRun: number
}

/**
 * Tells how long a request may wait before it is sent.
 *
 * Load pattern: more demand than slots for seconds. If all wait as long as they may, all are late; if each waits only
 * while its answer can still come in time, those that are served are served in time, and the others learn it at once.
 */
export function mostUsefulWait ({ objective, remaining, expectedRun }: WaitQuestion): number {
  const inTime = Math.max(objective - expectedRun, LEAST_SHARE * objective)
  return Math.max(0, Math.min(inTime, remaining - expectedRun))
}
