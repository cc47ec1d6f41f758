/** Fraction of the latency objective that a request may wait even if its run alone takes longer. */
const MINIMUM_OBJECTIVE_FRACTION = 0.25

/** Input to the maximum wait of a request. */
export interface MaximumWaitInput {
  /** Time left of the latency objective. */
  objectiveMilliseconds: number
  /** Time left until the answer is due. */
  remainingMilliseconds: number
  /** Mean time of a run, including the transit there and back. */
  expectedRunMilliseconds: number
}

/**
 * Computes how long a request may wait before it is sent.
 *
 * Load pattern: more demand than slots for several seconds. If every request waits until its deadline, all answers are
 * late. If each waits only while its answer can still arrive in time, the requests that are served are served in time,
 * and the others are refused at once.
 *
 * @returns the maximum wait in milliseconds
 */
export function computeMaximumWait ({ objectiveMilliseconds, remainingMilliseconds, expectedRunMilliseconds }: MaximumWaitInput): number {
  const waitWithinObjective = Math.max(objectiveMilliseconds - expectedRunMilliseconds, MINIMUM_OBJECTIVE_FRACTION * objectiveMilliseconds)
  return Math.max(0, Math.min(waitWithinObjective, remainingMilliseconds - expectedRunMilliseconds))
}
