import { MemberState } from '../types/MemberState.js'
import { MAXIMUM_CONTACTS_PER_MESSAGE, type DomainContacts } from './DomainContacts.js'
import type { MembershipTimings } from './MembershipTimings.js'

const SUSPECT_AFTER_MISSED_EXCHANGES = 4
const DEAD_AFTER_MISSED_EXCHANGES = 6

/** States of the other failure domains, derived from the age of the last contact with each. */
export class DomainStates {
  readonly #contacts: DomainContacts
  readonly #timings: MembershipTimings
  #statesByDomain = new Map<string, MemberState>()

  constructor (contacts: DomainContacts, timings: MembershipTimings) {
    this.#contacts = contacts
    this.#timings = timings
  }

  /** @returns the state of a domain at the last update; alive when it was unknown then */
  getState (domain: string): MemberState {
    return this.#statesByDomain.get(domain) ?? MemberState.Alive
  }

  /**
   * Recomputes the states. The time without contact that is tolerated grows with the number of domains, and with the time
   * that contacts need to spread in the local domain.
   *
   * @param domains - names of the other domains
   * @param localHostCount - number of hosts of the local domain, which pass on contacts
   * @param probeIntervalMilliseconds - interval between two messages of one of these hosts
   * @param extraWaitMilliseconds - additional time to wait because the local process runs late
   * @returns whether the state of any domain changed
   */
  update (domains: string[], localHostCount: number, probeIntervalMilliseconds: number, extraWaitMilliseconds: number): boolean {
    const { exchangeIntervalMilliseconds, delegatesPerDomain, domainSuspectMilliseconds, domainDeadMilliseconds } = this.#timings
    const exchangeGapMilliseconds = domains.length * exchangeIntervalMilliseconds / delegatesPerDomain / 2
    const messageCount = Math.ceil(Math.log2(localHostCount + 1)) + Math.max(0, Math.ceil(domains.length / MAXIMUM_CONTACTS_PER_MESSAGE) - 1)
    const spreadMilliseconds = messageCount * probeIntervalMilliseconds + extraWaitMilliseconds
    const suspectMilliseconds = spreadMilliseconds + Math.max(domainSuspectMilliseconds, exchangeGapMilliseconds * SUSPECT_AFTER_MISSED_EXCHANGES)
    const deadMilliseconds = spreadMilliseconds + Math.max(domainDeadMilliseconds, exchangeGapMilliseconds * DEAD_AFTER_MISSED_EXCHANGES)
    const statesByDomain = new Map(domains.map((domain) => [domain, this.#contacts.classify(domain, suspectMilliseconds, deadMilliseconds)]))
    const hasChanged = domains.some((domain) => statesByDomain.get(domain) !== this.getState(domain))
    this.#statesByDomain = statesByDomain
    return hasChanged
  }
}
