import { chooseRelays } from './chooseRelays.js'
import type { SpreaderOptions } from './SpreaderOptions.js'

/** Number of failed watches in a row after which any host may be watched. */
const FAILURES_BEFORE_ANY_HOST = 2
/** On average, one in this many comparisons of a relay is with a host of another failure domain. */
const RELAY_COMPARISONS_PER_OUTSIDE = 2
/** On average, one in this many comparisons of any other host is with a host of another failure domain. */
const COMPARISONS_PER_OUTSIDE = 8

/** Selects the hosts to ask for newer sheets. */
export class SourceSelector {
  readonly #options: SpreaderOptions

  /** @param options - identity of this host, and its view of replicas and hosts */
  constructor (options: SpreaderOptions) {
    this.#options = options
  }

  /**
   * @param failures - number of watches that failed in a row
   * @returns peer address of the host to watch, undefined if none is known
   */
  chooseForWatch (failures: number): string | undefined {
    const { identity, domainPeers, otherPeers, replicaAddresses } = this.#options
    const peers = domainPeers()
    const relays = chooseRelays([identity.name, ...peers.map(({ name }) => name)])
    const replicas = replicaAddresses().filter((address) => address !== identity.peerAddress)
    if (failures >= FAILURES_BEFORE_ANY_HOST) return this.#pickRandom([...replicas, ...[...peers, ...otherPeers()].map(({ address }) => address)])
    if (relays.includes(identity.name)) return replicas[(relays.indexOf(identity.name) + failures) % replicas.length]
    return this.#pickRandom(peers.filter(({ name }) => relays.includes(name)).map(({ address }) => address))
  }

  /** @returns peer address of the host to compare revisions with, undefined if none is known */
  chooseForComparison (): string | undefined {
    const { identity, domainPeers, otherPeers, random } = this.#options
    const domainHosts = domainPeers()
    const isRelay = chooseRelays([identity.name, ...domainHosts.map(({ name }) => name)]).includes(identity.name)
    const otherHosts = otherPeers()
    const comparisonsPerOutside = isRelay ? RELAY_COMPARISONS_PER_OUTSIDE : COMPARISONS_PER_OUTSIDE
    const comparesOutside = domainHosts.length === 0 || (otherHosts.length > 0 && random() * comparisonsPerOutside < 1)
    return this.#pickRandom((comparesOutside ? otherHosts : domainHosts).map(({ address }) => address))
  }

  /**
   * @param number - number of the sheet in force at this host
   * @returns peer address of a host with a higher number, undefined if none is known
   */
  chooseForCatchUp (number: number): string | undefined {
    const { domainPeers, otherPeers } = this.#options
    const isAhead = ({ sheetNumber }: { sheetNumber: number }): boolean => sheetNumber > number
    const aheadInDomain = domainPeers().filter(isAhead)
    const candidates = aheadInDomain.length > 0 ? aheadInDomain : otherPeers().filter(isAhead)
    return this.#pickRandom(candidates.map(({ address }) => address))
  }

  #pickRandom (addresses: string[]): string | undefined {
    return addresses[Math.floor(this.#options.random() * addresses.length)]
  }
}
