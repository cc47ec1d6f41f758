import { getElapsedMilliseconds, type ClockReading } from '../utils/ClockReading.js'

/**
 * Fraction of the revocation time for which a confirmation lasts. A control host may count as current for about 600 ms after
 * another leader has accepted a newer plan; the rest of the time covers that.
 */
const LEASE_FRACTION = 0.8

/**
 * The time for which the known plan certainly is the newest one, or was until a moment ago. A host that is cut off, frozen or
 * has just started doesn't hear of withdrawn keys, so that it serves keys only under this lease.
 */
export class PlanLease {
  #confirmedAt: ClockReading = { monotonic: Number.NEGATIVE_INFINITY, wall: Number.NEGATIVE_INFINITY }

  /**
   * Records that a current control host has no newer plan.
   *
   * @param requestedAt - when the control host was asked: its answer was true at some moment after that
   */
  confirm (requestedAt: ClockReading): void {
    this.#confirmedAt = requestedAt
  }

  /**
   * @param revocationMilliseconds - time from the acknowledgement of a plan within which each host stops to serve withdrawn keys; undefined without such a bound
   * @returns whether the host may serve keys
   */
  isValid (revocationMilliseconds: number | undefined): boolean {
    if (revocationMilliseconds === undefined) return true
    return getElapsedMilliseconds(this.#confirmedAt) < LEASE_FRACTION * revocationMilliseconds
  }
}
