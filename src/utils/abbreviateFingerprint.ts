/** Digits of a fingerprint that identify a request in the logs. */
const LOGGED_DIGITS = 16

/** @returns the beginning of a fingerprint, long enough to identify a request in the logs */
export function abbreviateFingerprint (fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_DIGITS)
}
