import type { ChoiceContext, OwnerChoice } from '../relay/OwnerChoice.js'
import type { HostIdentity } from '../types/HostIdentity.js'
import type { Member } from '../types/Member.js'
import type { Sheet } from '../types/Sheet.js'
import type { ChoiceExplanation } from './ChoiceExplanation.js'
import { choosePool } from './choosePool.js'
import type { PoolCandidate } from './PoolCandidate.js'
import { PoolIndex } from './PoolIndex.js'
import { PoolView } from './PoolView.js'
import { ShareRamp } from './ShareRamp.js'

const ASSUMED_GOSSIP_AGE_MILLISECONDS = 500

/** Inputs of an {@link OwnerChooser}. */
export interface OwnerChooserOptions {
  self: HostIdentity
  /** Returns every known host: a new array after each change, unless {@link OwnerChooser.applyMemberUpdates} is called after it. */
  members: () => Member[]
  currentSheet: () => Sheet | undefined
  random: () => number
}

/** Chooses the owner for each request by the shares of the sheet and the estimated load of the pools. */
export class OwnerChooser {
  readonly #options: OwnerChooserOptions
  readonly #shareRamp = new ShareRamp()
  readonly #viewsByService = new Map<string, PoolView>()
  readonly #versionsByHost = new Map<string, string>()
  #poolIndex: PoolIndex | undefined

  /** @param options - local host, members, sheet and random numbers */
  constructor (options: OwnerChooserOptions) {
    this.#options = options
  }

  /**
   * Starts the move to the shares of a sheet.
   *
   * @param sheet - the sheet now in force
   */
  apply (sheet: Sheet): void {
    this.#shareRamp.apply(sheet)
  }

  /** Records the pool reports of members that changed since the last call, and removes hosts that are no longer members. */
  applyMemberUpdates (): void {
    this.#poolIndex = undefined
    const members = this.#options.members()
    for (const { host, incarnation, version, details } of members) {
      if (this.#versionsByHost.get(host.name) === `${incarnation}.${version}`) continue
      this.#versionsByHost.set(host.name, `${incarnation}.${version}`)
      for (const pool of details.pools) {
        const candidate: PoolCandidate = { owner: host.name, place: host.domain, domain: host.domain, region: host.region }
        this.#getView(pool.service).recordReport(candidate, pool, ASSUMED_GOSSIP_AGE_MILLISECONDS)
      }
    }
    if (this.#versionsByHost.size > members.length) this.#removeDepartedHosts(members)
  }

  /** Implements {@link ChooseOwner}. */
  choose ({ service, guestPlace, full, excluded, random = this.#options.random }: ChoiceContext): OwnerChoice | undefined {
    const sheet = this.#options.currentSheet()
    if (sheet === undefined) return undefined
    const index = this.#getPoolIndex(sheet)
    const candidates = index.listCandidates(service)
    const view = this.#getView(service)
    const shares = this.#shareRamp.sharesOf(service, guestPlace)
    const chosen = choosePool({ from: this.#options.self, shares, candidates, excluded, full, view, random })
    const host = chosen === undefined ? undefined : index.findOwner(chosen.pool.owner)
    if (chosen === undefined || host === undefined) return undefined
    const { pool, mayWait } = chosen
    const sentAt = view.recordSent(pool)
    return {
      host,
      mayWait,
      settle: (report) => {
        if (report === undefined) view.recordEnd(pool, sentAt)
        else view.recordAnswer(pool, sentAt, report)
      }
    }
  }

  /**
   * Explains the choice for the requests of one guest place.
   *
   * @param service - name of the service
   * @param guestPlace - place of the guest, undefined when its address is in no block
   * @returns the pools of the service, with their shares and estimates
   */
  explain (service: string, guestPlace: string | undefined): ChoiceExplanation {
    const sheet = this.#options.currentSheet()
    const view = this.#getView(service)
    const fractionsByPlace = new Map(this.#shareRamp.sharesOf(service, guestPlace).map(({ place, fraction }) => [place, fraction]))
    const candidates = sheet === undefined ? [] : this.#getPoolIndex(sheet).listCandidates(service)
    const pools = candidates.map((candidate) => ({
      owner: candidate.owner,
      place: candidate.place,
      fraction: fractionsByPlace.get(candidate.place) ?? 0,
      freeSlots: view.freeSlots(candidate.owner),
      delayMilliseconds: view.delayMilliseconds(candidate)
    }))
    return { service, guestPlace, pools }
  }

  #getPoolIndex (sheet: Sheet): PoolIndex {
    const members = this.#options.members()
    if (this.#poolIndex?.members !== members || this.#poolIndex.sheet !== sheet) this.#poolIndex = new PoolIndex(members, sheet)
    return this.#poolIndex
  }

  /** Removes the estimates of hosts whose member record is gone. A host that is dead for a short time keeps its estimates. */
  #removeDepartedHosts (members: Member[]): void {
    const memberNames = new Set(members.map(({ host }) => host.name))
    for (const name of this.#versionsByHost.keys()) {
      if (memberNames.has(name)) continue
      this.#versionsByHost.delete(name)
      for (const view of this.#viewsByService.values()) view.remove(name)
    }
  }

  #getView (service: string): PoolView {
    const existing = this.#viewsByService.get(service)
    if (existing !== undefined) return existing
    const view = new PoolView(this.#options.self)
    this.#viewsByService.set(service, view)
    return view
  }
}
