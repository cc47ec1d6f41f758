import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'

/** Receives the open fraction, from 0 to 1, that an owner published for the ramp of one of its pools. */
export type RampListener = (service: string, openShare: number) => void

/** Extracts new values of the ramps of the other hosts of the local failure domain from the membership records. */
export class RampFollower {
  readonly #self: HostIdentity
  readonly #onOpenShare: RampListener
  readonly #lastVersionByHost = new Map<string, string>()

  /**
   * @param self - the local host, whose own records are skipped
   * @param onOpenShare - called once for each pool of each new record
   */
  constructor (self: HostIdentity, onOpenShare: RampListener) {
    this.#self = self
    this.#onOpenShare = onOpenShare
  }

  /** Reads the members and skips records that were read before, as the local ramp may have fallen below their values since. */
  update (members: readonly Member[]): void {
    for (const { host, incarnation, version, details } of members) {
      if (host.domain !== this.#self.domain || host.name === this.#self.name) continue
      if (this.#lastVersionByHost.get(host.name) === `${incarnation}.${version}`) continue
      this.#lastVersionByHost.set(host.name, `${incarnation}.${version}`)
      for (const { service, openShare } of details.pools) {
        if (openShare !== undefined) this.#onOpenShare(service, openShare)
      }
    }
  }
}
