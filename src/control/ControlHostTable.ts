import type { ControlHost } from '../registry/ControlHost.js'

/** Silence after which a control host that is no member of the group is forgotten. */
const FORGET_MILLISECONDS = 10_000

/** Control hosts, from the settings, from the replica group and from what they say of themselves. */
export class ControlHostTable {
  readonly #heard = new Map<string, { host: ControlHost, at: number }>()
  readonly #ownAddress: string
  readonly #listExpected: () => string[]

  /**
   * @param ownAddress - own peer address
   * @param listExpected - gives peer addresses of the seeds and of the members of the group
   */
  constructor (ownAddress: string, listExpected: () => string[]) {
    this.#ownAddress = ownAddress
    this.#listExpected = listExpected
  }

  /** Notes that a control host was heard. */
  hear (host: ControlHost): void {
    this.#heard.set(host.peerAddress, { host, at: performance.now() })
  }

  /** @returns peer addresses of all other control hosts */
  listPeers (): string[] {
    const now = performance.now()
    for (const [address, { at }] of this.#heard) if (now - at > FORGET_MILLISECONDS) this.#heard.delete(address)
    return [...new Set([...this.#listExpected(), ...this.#heard.keys()])].filter((address) => address !== this.#ownAddress)
  }

  /** @returns all other control hosts, with what they told of themselves */
  describe (): ControlHost[] {
    return this.listPeers().map((peerAddress) => this.#heard.get(peerAddress)?.host ?? { peerAddress, domain: undefined, region: undefined })
  }
}
