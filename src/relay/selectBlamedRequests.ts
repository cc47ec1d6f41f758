import type { PoisonGuard } from './PoisonGuard.js'

/**
 * Selects the requests to blame for the death of an upstream that ran them.
 * At most one suspect runs on an upstream at a time; if one did, only that one is blamed.
 *
 * @param fingerprints - fingerprints of the requests in flight when the upstream died
 * @param guard - identifies the suspects among them
 * @returns fingerprints of the requests to blame
 */
export function selectBlamedRequests (fingerprints: readonly string[], guard: PoisonGuard): string[] {
  const suspects = fingerprints.filter((fingerprint) => guard.isSuspect(fingerprint))
  return suspects.length > 0 ? suspects : [...fingerprints]
}
