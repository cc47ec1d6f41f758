/** Part of the latency objective that a request may wait even where its run alone takes longer. */
const MINIMUM_OBJECTIVE_FRACTION = 0.25

/** What the longest useful wait depends on, in milliseconds. */
export interface MaximumWaitInput {
  /** What is left of the latency objective. */
  objectiveMilliseconds: number
  /** What is left until the answer is due. */
  remainingMilliseconds: number
  /** Mean time of a run, with the way there and back. */
  expectedRunMilliseconds: number
}

/**
 * Tells how long a request may wait before it is sent.
 *
 * Load pattern: more demand than slots for seconds. If all wait as long as they may, all are late; if each waits only
 * while its answer can still come in time, those that are served are served in time, and the others learn it at once.
 */
export function computeMaximumWait ({ objectiveMilliseconds, remainingMilliseconds, expectedRunMilliseconds }: MaximumWaitInput): number {
  const waitWithinObjective = Math.max(objectiveMilliseconds - expectedRunMilliseconds, MINIMUM_OBJECTIVE_FRACTION * objectiveMilliseconds)
  return Math.max(0, Math.min(waitWithinObjective, remainingMilliseconds - expectedRunMilliseconds))
}
