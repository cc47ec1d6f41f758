import { isDeepStrictEqual } from 'node:util'
import type { Member } from '../types/Member.js'
import { MemberState } from '../types/MemberState.js'
import type { DomainEntries } from './DomainEntries.js'
import { hashText } from '../utils/hashText.js'
import { mergeMember } from './mergeMember.js'

/** Maximum number of version entries in one message. */
export const MAXIMUM_VERSION_ENTRIES = 80

/** Result of comparing a received record with the stored one. */
export enum RecordComparison {
  /** The received record replaced the stored one, or its host was unknown. */
  Newer = 'newer',
  Same = 'same',
  /** The stored record is newer, at least in part. */
  Older = 'older'
}

interface StoredMember {
  member: Member
  bytes: number
  changedAt: number
}

/** Records of all known hosts, merged by incarnation, state and version. */
export class MemberTable {
  readonly #membersByName = new Map<string, StoredMember>()
  readonly #namesByDomain = new Map<string, Set<string>>()
  readonly #hashesByDomain = new Map<string, number>()
  readonly #onChange: (member: Member, before: Member | undefined) => void

  /** @param onChange - called after each change of a record, with the new record and the previous one */
  constructor (onChange: (member: Member, before: Member | undefined) => void) {
    this.#onChange = onChange
  }

  get size (): number {
    return this.#membersByName.size
  }

  /**
   * Merges a record into the table. Records of unknown hosts that are dead or have left are ignored, so that
   * evicted hosts do not reappear as dead ones.
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

  /** @returns size of a host's record as JSON in bytes; 0 when the host is unknown */
  getRecordBytes (name: string): number {
    return this.#membersByName.get(name)?.bytes ?? 0
  }

  /** @returns time of the last change of a host's record, on the monotonic clock; 0 when the host is unknown */
  getChangedAt (name: string): number {
    return this.#membersByName.get(name)?.changedAt ?? 0
  }

  listMembers (): Member[] {
    return [...this.#membersByName.values()].map((stored) => stored.member)
  }

  listDomains (): string[] {
    return [...this.#namesByDomain.keys()]
  }

  /** @returns records of the hosts of a domain, in any state */
  listDomainMembers (domain: string): Member[] {
    return [...this.#namesByDomain.get(domain) ?? []].map((name) => this.#membersByName.get(name)!.member)
  }

  /** @returns records of the hosts of a domain that are alive or suspect */
  listRunningMembers (domain: string): Member[] {
    return this.listDomainMembers(domain).filter(isRunning)
  }

  evict (name: string): void {
    const stored = this.#membersByName.get(name)
    if (stored === undefined) return
    this.#membersByName.delete(name)
    this.#removeFromDomain(stored.member)
  }

  /** @returns a hash over the versions of the live and suspect hosts of a domain; 0 when there are none */
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
   * Lists the record versions of the live and suspect hosts of a domain. If they do not fit into one message, only one of
   * several ranges of host names is listed.
   *
   * @param domain - name of the domain
   * @param offsetFraction - selects the range, from 0 (inclusive) to 1 (exclusive)
   * @returns the versions, with the bounds of the range
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

/** @returns whether a host is assumed to be running, that is alive or suspect */
export function isRunning (member: Member): boolean {
  return member.state === MemberState.Alive || member.state === MemberState.Suspect
}

function compareWithStored (stored: Member, received: Member): RecordComparison {
  const isSame = stored.incarnation === received.incarnation && stored.version === received.version && stored.state === received.state
  return isSame ? RecordComparison.Same : RecordComparison.Older
}
