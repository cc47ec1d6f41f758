import { MemberState } from '../types/MemberState.js'
import { MAXIMUM_CONTACTS_PER_MESSAGE, type DomainContacts } from './DomainContacts.js'
import type { MembershipTimings } from './MembershipTimings.js'

const SUSPECT_AFTER_MISSED_EXCHANGES = 4
const DEAD_AFTER_MISSED_EXCHANGES = 6

/** What the own host makes of the other failure domains, by the age of the last contact with each. */
export class DomainStates {
  readonly #contacts: DomainContacts
  readonly #timings: MembershipTimings
  #statesByDomain = new Map<string, MemberState>()

  constructor (contacts: DomainContacts, timings: MembershipTimings) {
    this.#contacts = contacts
    this.#timings = timings
  }

  /** @returns the state of a domain at the last update; live when it was not known then */
  getState (domain: string): MemberState {
    return this.#statesByDomain.get(domain) ?? MemberState.Alive
  }

  /**
   * @param domains - the other domains
   * @param localHostCount - how many hosts of the own domain pass on the contacts
   * @param probeIntervalMilliseconds - time between two messages of one of them
   * @param extraWaitMilliseconds - how much longer than usual to wait for news
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
