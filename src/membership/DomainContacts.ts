import { MemberState } from '../types/MemberState.js'
import type { DomainContact } from './DomainContact.js'

/** Most contacts on one message. */
export const MAXIMUM_CONTACTS_PER_MESSAGE = 6

/** A contact that is newer than the one known by less is not passed on anew. */
const MINIMUM_AGE_CHANGE_MILLISECONDS = 100

interface LastContact {
  at: number
  /** How many messages carried it. */
  messageCount: number
}

/** When the own failure domain last exchanged messages with each other domain, on the monotonic clock. */
export class DomainContacts {
  readonly #lastContactByDomain = new Map<string, LastContact>()
  #gracePeriodEndsAt = 0

  /** Notes that a message of a domain arrived, `age` milliseconds ago. */
  recordContact (domain: string, ageMilliseconds = 0): void {
    const at = performance.now() - Math.max(0, ageMilliseconds)
    const known = this.#lastContactByDomain.get(domain)
    if (known === undefined || at > known.at + MINIMUM_AGE_CHANGE_MILLISECONDS) this.#lastContactByDomain.set(domain, { at, messageCount: 0 })
    else known.at = Math.max(known.at, at)
  }

  /** Judges no domain before this time has passed; called after a freeze of the own process. */
  startGracePeriod (milliseconds: number): void {
    this.#gracePeriodEndsAt = performance.now() + milliseconds
  }

  evict (domain: string): void {
    this.#lastContactByDomain.delete(domain)
  }

  getAgeMilliseconds (domain: string): number {
    const last = this.#lastContactByDomain.get(domain)
    return last === undefined ? Infinity : performance.now() - last.at
  }

  /**
   * @param domain - the domain
   * @param suspectMilliseconds - without contact for this long it is suspect
   * @param deadMilliseconds - without contact for this long it is dead
   */
  classify (domain: string, suspectMilliseconds: number, deadMilliseconds: number): MemberState {
    const ageMilliseconds = this.getAgeMilliseconds(domain)
    if (ageMilliseconds < suspectMilliseconds) return MemberState.Alive
    if (ageMilliseconds < deadMilliseconds || performance.now() < this.#gracePeriodEndsAt) return MemberState.Suspect
    return MemberState.Dead
  }

  /** @returns ages for one message: a bounded number of domains, first those whose age has been shared least since it changed */
  takeContacts (): DomainContact[] {
    const selected = [...this.#lastContactByDomain].sort(([, left], [, right]) => left.messageCount - right.messageCount || right.at - left.at).slice(0, MAXIMUM_CONTACTS_PER_MESSAGE)
    return selected.map(([domain, contact]) => {
      contact.messageCount++
      return { domain, ageMilliseconds: Math.round(this.getAgeMilliseconds(domain)) }
    })
  }
}
