import { RefusalReason } from '../types/RefusalReason.js'

/** Time until a full upstream has a free slot again: about one warm run. */
const BASE_DELAY_MILLISECONDS = 300
/** Range over which the returns of guests that were refused together are spread. */
const JITTER_MILLISECONDS = 700
/** Shorter delay after refusals that full upstreams did not cause: an immediate attempt is just as likely to succeed. */
const PROMPT_DELAY_MILLISECONDS = 20
const PROMPT_JITTER_MILLISECONDS = 80

/** Range over which the returns of guests over their quota are spread, relative to the wait for the next token. */
const QUOTA_JITTER_FRACTION = 0.5

const PROMPT_REASONS = new Set([RefusalReason.ShedWithFreeSlots, RefusalReason.UpstreamUnreachable, RefusalReason.Stopping])

/**
 * Chooses how long a refused guest should wait before its next attempt.
 *
 * Load patterns: a burst is refused within some milliseconds, and without a random spread its guests come back as the
 * same burst. Upstreams that refuse some of their requests although they have free slots: waiting gains nothing and
 * delays the answer. A host that stops: its guests find free slots at any other host. An account over its quota: an earlier
 * attempt is refused for certain, so the wait is told in full even where the guest's deadline is earlier.
 *
 * @param reason - why the guest was refused
 * @param remainingMilliseconds - time until the guest's deadline
 * @param randomValue - random number from 0 up to but not including 1
 * @param returnMilliseconds - time until the first upstream that asked for a pause takes requests again, or until the account has quota again; 0 if neither is awaited
 * @returns the wait in seconds
 */
export function chooseRetryAfter (reason: RefusalReason, remainingMilliseconds: number, randomValue: number, returnMilliseconds = 0): number {
  if (reason === RefusalReason.QuotaExceeded) return Math.ceil(returnMilliseconds * (1 + randomValue * QUOTA_JITTER_FRACTION)) / 1000
  const delay = PROMPT_REASONS.has(reason) ? PROMPT_DELAY_MILLISECONDS + randomValue * PROMPT_JITTER_MILLISECONDS : Math.max(BASE_DELAY_MILLISECONDS, returnMilliseconds) + randomValue * JITTER_MILLISECONDS
  return Math.round(Math.min(delay, remainingMilliseconds / 3)) / 1000
}
