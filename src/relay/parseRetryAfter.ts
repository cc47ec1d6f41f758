/** Maximum pause that an upstream may ask for; a faulty one must not take itself out of use for good. */
export const MAXIMUM_PAUSE_MILLISECONDS = 300_000

const SECONDS_PATTERN = /^\d+(\.\d+)?$/

/**
 * Parses the value of a `Retry-After` header in seconds, whole or with a fraction. A date is not accepted, because the
 * clocks of the hosts may differ by more than the pause.
 *
 * @param value - value of the header
 * @returns the pause in milliseconds, {@link MAXIMUM_PAUSE_MILLISECONDS} at most; undefined when it is no number of seconds
 */
export function parseRetryAfter (value: string): number | undefined {
  const text = value.trim()
  if (!SECONDS_PATTERN.test(text)) return undefined
  return Math.min(MAXIMUM_PAUSE_MILLISECONDS, Math.ceil(1_000 * Number(text)))
}
