/** A permit to run a suspect. */
interface Permit {
  holder: string
  expiresAt: number
}

/** Permits to run suspects, one at a time for each request; kept by the host that all others ask for it. */
export class SuspectPermits {
  readonly #permits = new Map<string, Permit>()

  /**
   * Gives a permit unless another run holds it.
   *
   * @param fingerprint - the request
   * @param holder - identifier of the run
   * @param lifetimeMilliseconds - after which it ends by itself
   * @returns whether the run holds it now
   */
  tryTake (fingerprint: string, holder: string, lifetimeMilliseconds: number): boolean {
    const now = performance.now()
    const permit = this.#permits.get(fingerprint)
    if (permit !== undefined && permit.holder !== holder && permit.expiresAt > now) return false
    this.#permits.set(fingerprint, { holder, expiresAt: now + lifetimeMilliseconds })
    return true
  }

  /**
   * Takes a permit back; one that another run holds by now stays.
   *
   * @param fingerprint - the request
   * @param holder - identifier of the run
   */
  release (fingerprint: string, holder: string): void {
    if (this.#permits.get(fingerprint)?.holder === holder) this.#permits.delete(fingerprint)
  }
}
