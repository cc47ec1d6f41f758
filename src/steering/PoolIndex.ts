import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'
import { listPoolCandidates } from './listPoolCandidates.js'
import type { PoolCandidate } from './PoolCandidate.js'

/** Index of the pools of each service and of their owners, for one view of the members and one sheet. */
export class PoolIndex {
  readonly members: Member[]
  readonly sheet: Sheet
  readonly #candidatesByService = new Map<string, PoolCandidate[]>()
  readonly #ownersByName = new Map<string, HostIdentity>()

  /**
   * @param members - every known host
   * @param sheet - the sheet in force
   */
  constructor (members: Member[], sheet: Sheet) {
    this.members = members
    this.sheet = sheet
    for (const { host, details } of members) {
      if (details.pools.length > 0 && !this.#ownersByName.has(host.name)) this.#ownersByName.set(host.name, host)
    }
  }

  /** @returns the pools that {@link listPoolCandidates} lists for a service */
  listCandidates (service: string): PoolCandidate[] {
    const existing = this.#candidatesByService.get(service)
    if (existing !== undefined) return existing
    const candidates = listPoolCandidates(this.members, this.sheet, service)
    // Guests may send any service name; caching unknown ones would let the index grow without limit.
    if (this.sheet.services.has(service)) this.#candidatesByService.set(service, candidates)
    return candidates
  }

  /** @returns the owner of a pool with this host name, undefined if there is none */
  findOwner (name: string): HostIdentity | undefined {
    return this.#ownersByName.get(name)
  }
}
