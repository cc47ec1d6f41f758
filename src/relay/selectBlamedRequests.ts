import type { PoisonGuard } from './PoisonGuard.js'

/**
 * Chooses which requests to hold responsible for the death of an upstream that ran them.
 * At most one suspect runs on an upstream at a time; if one did, it alone is blamed.
 *
 * @param fingerprints - requests in flight when the upstream died
 * @param guard - what is known of them
 * @returns the requests to blame
 */
export function selectBlamedRequests (fingerprints: readonly string[], guard: PoisonGuard): string[] {
  const suspects = fingerprints.filter((fingerprint) => guard.isSuspect(fingerprint))
  return suspects.length > 0 ? suspects : [...fingerprints]
}
