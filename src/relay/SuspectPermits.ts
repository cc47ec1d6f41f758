/** A permit to run a suspect. */
interface Permit {
  holder: string
  expiresAt: number
}

/** Permits to run suspects, one at a time for each request; stored on the host that all others ask for them. */
export class SuspectPermits {
  readonly #permits = new Map<string, Permit>()

  /**
   * Grants a permit unless another run holds it.
   *
   * @param fingerprint - fingerprint of the request
   * @param holder - identifier of the run
   * @param lifetimeMilliseconds - time after which the permit expires
   * @returns whether the run holds the permit now
   */
  tryTake (fingerprint: string, holder: string, lifetimeMilliseconds: number): boolean {
    const now = performance.now()
    const permit = this.#permits.get(fingerprint)
    if (permit !== undefined && permit.holder !== holder && permit.expiresAt > now) return false
    this.#permits.set(fingerprint, { holder, expiresAt: now + lifetimeMilliseconds })
    return true
  }

  /**
   * Releases a permit; one that another run holds by now stays.
   *
   * @param fingerprint - fingerprint of the request
   * @param holder - identifier of the run
   */
  release (fingerprint: string, holder: string): void {
    if (this.#permits.get(fingerprint)?.holder === holder) this.#permits.delete(fingerprint)
  }
}
