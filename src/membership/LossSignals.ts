import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'

/** Abort signals, one per host, that are aborted when the host becomes suspect or dead, so that callers stop waiting for its answers. */
export class LossSignals {
  readonly #controllersByHost = new Map<string, AbortController>()

  /**
   * @param host - name of the host
   * @returns the current signal of the host; a new one is made after each abort
   */
  signalOf (host: string): AbortSignal {
    const known = this.#controllersByHost.get(host)
    if (known !== undefined) return known.signal
    const controller = new AbortController()
    this.#controllersByHost.set(host, controller)
    return controller.signal
  }

  /**
   * Aborts and discards the signals of suspect and dead hosts.
   *
   * @param members - all hosts as currently seen by the membership
   */
  update (members: Member[]): void {
    for (const { host, state } of members) {
      if (state !== MemberState.Suspect && state !== MemberState.Dead) continue
      this.#controllersByHost.get(host.name)?.abort()
      this.#controllersByHost.delete(host.name)
    }
  }
}
