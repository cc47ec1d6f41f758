import type { ControlHost } from '../registry/ControlHost.js'

/** Time after a failure during which a control host ranks behind those that did not fail. */
const FAILURE_PENALTY_MILLISECONDS = 5_000

/** Failure domain and region of a host. */
export type HostLocation = Pick<ControlHost, 'domain' | 'region'>

/** Dependencies of {@link ControlHostRanking}. */
export interface ControlHostRankingOptions {
  /** Peer addresses of control hosts from the settings. */
  seeds: () => string[]
  locateSelf: () => HostLocation
  random: () => number
}

/** Ranks the control hosts that an entry host knows in the order in which it prefers to follow them. */
export class ControlHostRanking {
  readonly #options: ControlHostRankingOptions
  readonly #failedAtByAddress = new Map<string, number>()
  #controlHosts: ControlHost[] = []

  /** @param options - seed addresses, the location of this host and the random source */
  constructor (options: ControlHostRankingOptions) {
    this.#options = options
  }

  /** Replaces the list of control hosts by the one that a control host sent; an empty list is ignored. */
  updateControlHosts (controlHosts: ControlHost[]): void {
    if (controlHosts.length > 0) this.#controlHosts = controlHosts
  }

  recordFailure (address: string): void {
    this.#failedAtByAddress.set(address, performance.now())
  }

  recordSuccess (address: string): void {
    this.#failedAtByAddress.delete(address)
  }

  /** @returns addresses of all known control hosts, in no particular order */
  listAddresses (): string[] {
    return [...new Set([...this.#controlHosts.map(({ peerAddress }) => peerAddress), ...this.#options.seeds()])]
  }

  /** @returns all addresses: those that failed recently last, near ones first, equally near ones in random order */
  rank (): string[] {
    return this.listAddresses()
      .map((address) => ({ address, failureRank: Number(this.#hasFailedRecently(address)), distance: this.#getDistance(address), tieBreaker: this.#options.random() }))
      .sort((left, right) => left.failureRank - right.failureRank || left.distance - right.distance || left.tieBreaker - right.tieBreaker)
      .map(({ address }) => address)
  }

  /** @returns addresses that are nearer than the reference and did not fail recently, the nearest first */
  listNearer (reference: string): string[] {
    const distance = this.#getDistance(reference)
    return this.rank().filter((address) => !this.#hasFailedRecently(address) && this.#getDistance(address) < distance)
  }

  #hasFailedRecently (address: string): boolean {
    return performance.now() - (this.#failedAtByAddress.get(address) ?? Number.NEGATIVE_INFINITY) <= FAILURE_PENALTY_MILLISECONDS
  }

  /** @returns 0 in the failure domain of this host, 1 in its region, 2 elsewhere or at an unknown location */
  #getDistance (address: string): number {
    const local = this.#options.locateSelf()
    const host = this.#controlHosts.find(({ peerAddress }) => peerAddress === address)
    if (host === undefined) return 2
    if (host.domain === local.domain) return 0
    return host.region === local.region ? 1 : 2
  }
}
