import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'
import { listPoolCandidates } from './listPoolCandidates.js'
import type { PoolCandidate } from './PoolCandidate.js'

/** The pools of each service and their owners, as one view of the members and one sheet give them. */
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

  /** @returns what {@link listPoolCandidates} lists for a service of the sheet */
  listCandidates (service: string): PoolCandidate[] {
    const existing = this.#candidatesByService.get(service)
    if (existing !== undefined) return existing
    const candidates = listPoolCandidates(this.members, this.sheet, service)
    // Names that guests make up would be kept otherwise.
    if (this.sheet.services.has(service)) this.#candidatesByService.set(service, candidates)
    return candidates
  }

  /** @returns the host with a name that owns a pool, undefined if there is none */
  findOwner (name: string): HostIdentity | undefined {
    return this.#ownersByName.get(name)
  }
}
