import { MemberState } from '../types/MemberState.js'
import type { DomainContact } from './DomainContact.js'

/** Maximum number of contacts in one message. */
export const MAXIMUM_CONTACTS_PER_MESSAGE = 6

/** A newer contact counts as changed, and resets the message count, only if it is newer than the known one by more than this. */
const MINIMUM_AGE_CHANGE_MILLISECONDS = 100

interface LastContact {
  contactedAt: number
  /** Number of messages that have carried this contact. */
  messageCount: number
}

/** Times at which the local failure domain last received a message from each other domain, on the monotonic clock. */
export class DomainContacts {
  readonly #lastContactByDomain = new Map<string, LastContact>()
  #gracePeriodEndsAt = 0

  /** Records that a host of the local domain received a message from another domain `ageMilliseconds` ago. */
  recordContact (domain: string, ageMilliseconds = 0): void {
    const contactedAt = performance.now() - Math.max(0, ageMilliseconds)
    const known = this.#lastContactByDomain.get(domain)
    if (known === undefined || contactedAt > known.contactedAt + MINIMUM_AGE_CHANGE_MILLISECONDS) this.#lastContactByDomain.set(domain, { contactedAt, messageCount: 0 })
    else known.contactedAt = Math.max(known.contactedAt, contactedAt)
  }

  /** Classifies no domain as dead before the given time has passed; called after the local process was stalled. */
  startGracePeriod (milliseconds: number): void {
    this.#gracePeriodEndsAt = performance.now() + milliseconds
  }

  evict (domain: string): void {
    this.#lastContactByDomain.delete(domain)
  }

  getAgeMilliseconds (domain: string): number {
    const last = this.#lastContactByDomain.get(domain)
    return last === undefined ? Infinity : performance.now() - last.contactedAt
  }

  /**
   * Classifies a domain by the age of its last contact; during a grace period it is at most suspect.
   *
   * @param domain - name of the other domain
   * @param suspectMilliseconds - age from which the domain is suspect
   * @param deadMilliseconds - age from which the domain is dead
   */
  classify (domain: string, suspectMilliseconds: number, deadMilliseconds: number): MemberState {
    const ageMilliseconds = this.getAgeMilliseconds(domain)
    if (ageMilliseconds < suspectMilliseconds) return MemberState.Alive
    if (ageMilliseconds < deadMilliseconds || performance.now() < this.#gracePeriodEndsAt) return MemberState.Suspect
    return MemberState.Dead
  }

  /** @returns a bounded number of contacts for one message, preferring those that the fewest messages have carried since they changed */
  takeContacts (): DomainContact[] {
    const selected = [...this.#lastContactByDomain].sort(([, left], [, right]) => left.messageCount - right.messageCount || right.contactedAt - left.contactedAt).slice(0, MAXIMUM_CONTACTS_PER_MESSAGE)
    return selected.map(([domain, contact]) => {
      contact.messageCount++
      return { domain, ageMilliseconds: Math.round(this.getAgeMilliseconds(domain)) }
    })
  }
}
