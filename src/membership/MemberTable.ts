import { isDeepStrictEqual } from 'node:util'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { DomainEntries } from './DomainEntries.js'
import { hashText } from '../utils/hashText.js'
import { mergeMember } from './mergeMember.js'

/** Most versions of hosts in one message. */
export const MAXIMUM_VERSION_ENTRIES = 80

/** How a received record relates to the one held. */
export enum RecordComparison {
  /** It changed the record held, or was new. */
  Newer = 'newer',
  Same = 'same',
  /** The record held says something newer. */
  Older = 'older'
}

interface StoredMember {
  member: Member
  bytes: number
  changedAt: number
}

/** Records of all known hosts, joined by incarnation, state and version. */
export class MemberTable {
  readonly #membersByName = new Map<string, StoredMember>()
  readonly #namesByDomain = new Map<string, Set<string>>()
  readonly #hashesByDomain = new Map<string, number>()
  readonly #onChange: (member: Member, before: Member | undefined) => void

  /** @param onChange - called after each changed record, with the record before */
  constructor (onChange: (member: Member, before: Member | undefined) => void) {
    this.#onChange = onChange
  }

  get size (): number {
    return this.#membersByName.size
  }

  /**
   * Joins a record into the table. Ends of hosts that are not known are passed over, so that
   * forgotten hosts do not come back as dead ones.
   */
  apply (received: Member): RecordComparison {
    const stored = this.#membersByName.get(received.host.name)
    if (stored === undefined && !isRunning(received)) return RecordComparison.Same
    const merged = stored === undefined ? received : mergeMember(stored.member, received)
    if (merged === stored?.member) return compareWithStored(stored.member, received)
    this.#store(merged, stored)
    return merged === received || isDeepStrictEqual(merged, received) ? RecordComparison.Newer : RecordComparison.Older
  }

  getMember (name: string): Member | undefined {
    return this.#membersByName.get(name)?.member
  }

  /** @returns size of the host's record as JSON, in bytes */
  getRecordBytes (name: string): number {
    return this.#membersByName.get(name)?.bytes ?? 0
  }

  /** @returns when the host's record changed last, on the monotonic clock */
  getChangedAt (name: string): number {
    return this.#membersByName.get(name)?.changedAt ?? 0
  }

  listMembers (): Member[] {
    return [...this.#membersByName.values()].map((stored) => stored.member)
  }

  listDomains (): string[] {
    return [...this.#namesByDomain.keys()]
  }

  /** @returns records of a domain's hosts, in any state */
  listDomainMembers (domain: string): Member[] {
    return [...this.#namesByDomain.get(domain) ?? []].map((name) => this.#membersByName.get(name)!.member)
  }

  /** @returns records of a domain's hosts that are live or suspect */
  listRunningMembers (domain: string): Member[] {
    return this.listDomainMembers(domain).filter(isRunning)
  }

  evict (name: string): void {
    const stored = this.#membersByName.get(name)
    if (stored === undefined) return
    this.#membersByName.delete(name)
    this.#removeFromDomain(stored.member)
  }

  /** @returns a hash over the versions of the domain's live and suspect hosts, 0 when it has none */
  hashDomain (domain: string): number {
    const known = this.#hashesByDomain.get(domain)
    if (known !== undefined) return known
    let hash = 0
    for (const member of this.listRunningMembers(domain)) {
      hash = (hash + hashText(`${member.host.name}|${member.incarnation}|${member.version}|${member.state}`)) >>> 0
    }
    this.#hashesByDomain.set(domain, hash)
    return hash
  }

  /**
   * @param domain - the domain
   * @param offsetFraction - from 0 to 1, which part of the names to begin with when not all fit
   * @returns the versions held of the domain's hosts, a bounded number of them
   */
  listVersions (domain: string, offsetFraction: number): DomainEntries {
    const runningMembers = this.listRunningMembers(domain).sort((left, right) => left.host.name < right.host.name ? -1 : 1)
    const rangeCount = Math.ceil(runningMembers.length / MAXIMUM_VERSION_ENTRIES)
    const start = Math.floor(offsetFraction * rangeCount) * MAXIMUM_VERSION_ENTRIES
    const entries = runningMembers.slice(start, start + MAXIMUM_VERSION_ENTRIES).map((member) => ({
      name: member.host.name, incarnation: member.incarnation, version: member.version, state: member.state
    }))
    return { domain, after: runningMembers[start - 1]?.host.name, before: runningMembers[start + MAXIMUM_VERSION_ENTRIES]?.host.name, entries }
  }

  #store (merged: Member, stored: StoredMember | undefined): void {
    const name = merged.host.name
    if (stored !== undefined && stored.member.host.domain !== merged.host.domain) this.#removeFromDomain(stored.member)
    const names = this.#namesByDomain.get(merged.host.domain) ?? new Set<string>()
    this.#namesByDomain.set(merged.host.domain, names.add(name))
    this.#hashesByDomain.delete(merged.host.domain)
    this.#membersByName.set(name, { member: merged, bytes: Buffer.byteLength(JSON.stringify(merged)), changedAt: performance.now() })
    this.#onChange(merged, stored?.member)
  }

  #removeFromDomain (member: Member): void {
    const names = this.#namesByDomain.get(member.host.domain)
    this.#hashesByDomain.delete(member.host.domain)
    names?.delete(member.host.name)
    if (names?.size === 0) this.#namesByDomain.delete(member.host.domain)
  }
}

/** @returns whether a host is believed to run: live or suspect */
export function isRunning (member: Member): boolean {
  return member.state === MemberState.Alive || member.state === MemberState.Suspect
}

function compareWithStored (stored: Member, received: Member): RecordComparison {
  const isSame = stored.incarnation === received.incarnation && stored.version === received.version && stored.state === received.state
  return isSame ? RecordComparison.Same : RecordComparison.Older
}
