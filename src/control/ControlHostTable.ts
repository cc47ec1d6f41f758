import type { ControlHost } from '../registry/ControlHost.js'

/** Silence after which a control host that is neither a seed nor a member of the group is removed. */
const EXPIRY_MILLISECONDS = 10_000

/** Control hosts known from the settings, from the replica group and from their own messages. */
export class ControlHostTable {
  readonly #contactsByAddress = new Map<string, { host: ControlHost, lastContactAt: number }>()
  readonly #localAddress: string
  readonly #listSeedsAndMembers: () => string[]

  /**
   * @param localAddress - peer address of this host
   * @param listSeedsAndMembers - returns peer addresses of the seeds and of the members of the group
   */
  constructor (localAddress: string, listSeedsAndMembers: () => string[]) {
    this.#localAddress = localAddress
    this.#listSeedsAndMembers = listSeedsAndMembers
  }

  /** Records a message of a control host, with the location that it sent. */
  recordContact (host: ControlHost): void {
    this.#contactsByAddress.set(host.peerAddress, { host, lastContactAt: performance.now() })
  }

  /** @returns peer addresses of all other control hosts */
  listPeers (): string[] {
    const now = performance.now()
    for (const [address, { lastContactAt }] of this.#contactsByAddress) if (now - lastContactAt > EXPIRY_MILLISECONDS) this.#contactsByAddress.delete(address)
    return [...new Set([...this.#listSeedsAndMembers(), ...this.#contactsByAddress.keys()])].filter((address) => address !== this.#localAddress)
  }

  /**
   * @param maximumSilenceMilliseconds - maximum time since the last message
   * @returns the other control hosts that sent a message within that time, the latest first
   */
  listRecent (maximumSilenceMilliseconds: number): ControlHost[] {
    const now = performance.now()
    return [...this.#contactsByAddress.values()]
      .filter(({ lastContactAt }) => now - lastContactAt <= maximumSilenceMilliseconds)
      .sort((left, right) => right.lastContactAt - left.lastContactAt)
      .map(({ host }) => host)
  }

  /** @returns whether a control host is known to be in another region than the given one */
  isInOtherRegion (address: string, region: string): boolean {
    return (this.findRegion(address) ?? region) !== region
  }

  /** @returns region of a control host, undefined until it has sent a message */
  findRegion (address: string): string | undefined {
    return this.#contactsByAddress.get(address)?.host.region
  }

  /** @returns all other control hosts, with their locations if they have sent them */
  listOthers (): ControlHost[] {
    return this.listPeers().map((peerAddress) => this.#contactsByAddress.get(peerAddress)?.host ?? { peerAddress, domain: undefined, region: undefined })
  }
}
