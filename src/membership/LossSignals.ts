import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'

/** Signals that are aborted when the membership takes a host for lost, so that nobody waits for its answers. */
export class LossSignals {
  readonly #controllersByHost = new Map<string, AbortController>()

  /**
   * @param host - name of the host
   * @returns a signal of the host's present life
   */
  signalOf (host: string): AbortSignal {
    const known = this.#controllersByHost.get(host)
    if (known !== undefined) return known.signal
    const controller = new AbortController()
    this.#controllersByHost.set(host, controller)
    return controller.signal
  }

  /** @param members - the hosts as the membership sees them now */
  update (members: Member[]): void {
    for (const { host, state } of members) {
      if (state !== MemberState.Suspect && state !== MemberState.Dead) continue
      this.#controllersByHost.get(host.name)?.abort()
      this.#controllersByHost.delete(host.name)
    }
  }
}
