import type { ControlHost } from '../registry/ControlHost.js'

/** How long after a failure a control host is asked again before others that did not fail. */
const RETURN_MILLISECONDS = 5_000

/** Where a host is. */
export type Location = Pick<ControlHost, 'domain' | 'region'>

/** What a ranking works with. */
export interface ControlHostRankingOptions {
  /** Peer addresses of control hosts from the settings. */
  seeds: () => string[]
  locate: () => Location
  random: () => number
}

/** The control hosts that an entry host knows, in the order in which it would follow them. */
export class ControlHostRanking {
  readonly #options: ControlHostRankingOptions
  readonly #failedAt = new Map<string, number>()
  #known: ControlHost[] = []

  /** @param options - what is known beforehand */
  constructor (options: ControlHostRankingOptions) {
    this.#options = options
  }

  /** Takes in all control hosts, as one of them tells. */
  learn (controlHosts: ControlHost[]): void {
    if (controlHosts.length > 0) this.#known = controlHosts
  }

  noteFailure (address: string): void {
    this.#failedAt.set(address, performance.now())
  }

  noteSuccess (address: string): void {
    this.#failedAt.delete(address)
  }

  /** @returns all addresses: those that failed lately last, near ones first, equally near ones in random order */
  rank (): string[] {
    return this.#listAddresses()
      .map((address) => ({ address, failed: Number(this.#failedLately(address)), distance: this.#distance(address), draw: this.#options.random() }))
      .sort((left, right) => left.failed - right.failed || left.distance - right.distance || left.draw - right.draw)
      .map(({ address }) => address)
  }

  /** @returns addresses nearer than another one that did not fail lately, the nearest first */
  listNearer (than: string): string[] {
    const distance = this.#distance(than)
    return this.rank().filter((address) => !this.#failedLately(address) && this.#distance(address) < distance)
  }

  #failedLately (address: string): boolean {
    return performance.now() - (this.#failedAt.get(address) ?? Number.NEGATIVE_INFINITY) <= RETURN_MILLISECONDS
  }

  #listAddresses (): string[] {
    return [...new Set([...this.#known.map(({ peerAddress }) => peerAddress), ...this.#options.seeds()])]
  }

  /** @returns 0 in the own failure domain, 1 in the own region, 2 elsewhere or unknown */
  #distance (address: string): number {
    const own = this.#options.locate()
    const host = this.#known.find(({ peerAddress }) => peerAddress === address)
    if (host === undefined) return 2
    if (host.domain === own.domain) return 0
    return host.region === own.region ? 1 : 2
  }
}
