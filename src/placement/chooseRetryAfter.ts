import { RefusalReason } from '../types/RefusalReason.js'

/** Time in which a full upstream gets room: about one run of warm work. */
const BASE_DELAY_MILLISECONDS = 300
/** Width over which guests that were refused together come back. */
const JITTER_MILLISECONDS = 700
/** The same for refusals that no lack of room caused: another try is as good at once. */
const PROMPT_DELAY_MILLISECONDS = 20
const PROMPT_JITTER_MILLISECONDS = 80

const PROMPT_REASONS = new Set([RefusalReason.ShedWithRoom, RefusalReason.UpstreamUnreachable])

/**
 * Chooses when a refused guest should come back.
 *
 * Load patterns: a burst is refused within some milliseconds, and without a spread its guests come back as the same
 * burst. Upstreams that refuse a part of their requests although they have room: a wait gains nothing, and makes the
 * answer late.
 *
 * @param reason - why the guest was refused
 * @param remainingMilliseconds - what is left of the guest's time
 * @param randomValue - a number from 0 up to but not including 1
 * @returns seconds
 */
export function chooseRetryAfter (reason: RefusalReason, remainingMilliseconds: number, randomValue: number): number {
  const delay = PROMPT_REASONS.has(reason) ? PROMPT_DELAY_MILLISECONDS + randomValue * PROMPT_JITTER_MILLISECONDS : BASE_DELAY_MILLISECONDS + randomValue * JITTER_MILLISECONDS
  return Math.round(Math.min(delay, remainingMilliseconds / 3)) / 1000
}
