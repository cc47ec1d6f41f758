import { isDeepStrictEqual } from 'node:util'
import type { HostDetails } from '../types/HostDetails.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import { isRoutingChange } from './isRoutingChange.js'

/** The record that the local host publishes of itself; the only source of its incarnation and version. */
export class LocalRecord {
  readonly #host: HostIdentity
  #member: Member
  #pendingDetails: HostDetails | undefined
  #publishedAt = -Infinity

  /** @param host - identity of the local host */
  constructor (host: HostIdentity) {
    this.#host = host
    this.#member = {
      host,
      state: MemberState.Alive,
      incarnation: Date.now(),
      version: 1,
      details: { draining: false, sheetNumber: 0, pools: [] }
    }
  }

  get member (): Member {
    return this.#member
  }

  /**
   * Replaces the details. They are published at once if the change affects routing, otherwise by {@link publishPending}.
   *
   * @returns whether the record changed
   */
  updateDetails (details: HostDetails): boolean {
    this.#pendingDetails = structuredClone(details)
    const next = { ...this.#member, details: this.#pendingDetails }
    return isRoutingChange(this.#member, next) && this.publishPending(0)
  }

  /**
   * Publishes pending details unless less than the interval has passed since the last publication.
   *
   * @returns whether the record changed
   */
  publishPending (intervalMilliseconds: number): boolean {
    if (this.#pendingDetails === undefined || performance.now() - this.#publishedAt < intervalMilliseconds) return false
    const details = this.#pendingDetails
    this.#pendingDetails = undefined
    if (isDeepStrictEqual(details, this.#member.details)) return false
    this.#member = { ...this.#member, version: this.#member.version + 1, details }
    this.#publishedAt = performance.now()
    return true
  }

  /**
   * Raises the local incarnation above that of a received record if the record contradicts this host:
   * it states a suspicion or a death, or stems from a previous run.
   *
   * @returns whether the record changed
   */
  refute (received: Member): boolean {
    if (this.#member.state === MemberState.Left || !this.#isContradictedBy(received)) return false
    this.raiseIncarnation(received.incarnation)
    return true
  }

  /** Sets the incarnation to one more than the maximum of the current one and a given one. */
  raiseIncarnation (above = 0): void {
    this.#member = { ...this.#member, incarnation: Math.max(above, this.#member.incarnation) + 1 }
  }

  /** Marks the local host as having left. */
  leave (): void {
    this.#member = { ...this.#member, state: MemberState.Left }
  }

  #isContradictedBy (received: Member): boolean {
    if (received.incarnation !== this.#member.incarnation) return received.incarnation > this.#member.incarnation
    if (received.state !== MemberState.Alive || received.version > this.#member.version) return true
    return received.host.peerAddress !== this.#host.peerAddress
  }
}
