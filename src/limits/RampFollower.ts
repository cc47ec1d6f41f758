import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'

/** Called with what an owner newly says of the ramp of one of its pools. */
export type RampListener = (service: string, openShare: number) => void

/** Picks out of the membership what the other hosts of the own failure domain newly say of their ramps. */
export class RampFollower {
  readonly #self: HostIdentity
  readonly #onOpenShare: RampListener
  readonly #lastVersionByHost = new Map<string, string>()

  /**
   * @param self - the own host
   * @param onOpenShare - called once for each thing that is said
   */
  constructor (self: HostIdentity, onOpenShare: RampListener) {
    this.#self = self
    this.#onOpenShare = onOpenShare
  }

  /** Takes in the members; a record that is known is passed over, since its share may have fallen since. */
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
