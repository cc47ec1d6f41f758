import type { CallPeer } from '../transport/CallPeer.js'
import type { Member } from '../types/Member.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { selectFittingRecords, MAXIMUM_GOSSIP_BYTES } from './composeGossip.js'
import type { DomainEntries } from './DomainEntries.js'
import type { ExchangeAnswer } from './ExchangeAnswer.js'
import type { ExchangeRequest } from './ExchangeRequest.js'
import { MAXIMUM_VERSION_ENTRIES } from './MemberTable.js'
import type { MembershipSettings } from './MembershipSettings.js'
import type { MembershipView } from './MembershipView.js'
import { mergeMember } from './mergeMember.js'
import { pause, type Pause } from '../utils/pause.js'
import type { VersionEntry } from './VersionEntry.js'
import { shuffle } from './shuffle.js'

/** Maximum total size of the records in one exchange, in each direction. */
export const MAXIMUM_EXCHANGE_BYTES = 4096
const MAXIMUM_REQUESTED_RECORDS = 40
const MAXIMUM_PULLS = 8
const PULL_INTERVAL_MILLISECONDS = 200
const GUESS_PROBABILITY = 0.7
const RECENT_CHANGES_MILLISECONDS = 10_000

/** Result of comparing the local view with that of a peer. */
export enum ViewComparison {
  Equal = 'equal',
  /** The local view lacked no record of the peer. */
  Ahead = 'ahead',
  /** The local view lacked no record that the peer listed, but the list was incomplete. */
  Partial = 'partial',
  Behind = 'behind'
}

/** Domains whose records are compared with a peer. */
export interface ComparisonScope {
  domains: string[]
  /** Whether domains that are not named count as unknown to the caller, so that the peer lists them as well. */
  complete: boolean
}

/** Compares views with a peer, first by digests, then by versions, and transfers only the records that differ. */
export class Synchronizer {
  readonly #view: MembershipView
  readonly #callPeer: CallPeer
  readonly #random: () => number
  readonly #pause: Pause

  constructor (view: MembershipView, settings: MembershipSettings) {
    this.#view = view
    this.#callPeer = settings.callPeer
    this.#random = settings.random
    this.#pause = settings.pause ?? pause
  }

  /**
   * Compares views with one peer and updates both, as far as the bounds on messages permit.
   *
   * @param address - address of the peer
   * @param scope - domains to compare
   * @param updates - changed records to send with the digests
   * @returns the relation of the local view to that of the peer before the update
   * @throws PeerCallError when the peer does not answer
   */
  async compare (address: string, scope: ComparisonScope, updates: Member[] = []): Promise<ViewComparison> {
    const digests = scope.domains.map((domain) => ({ domain, hash: this.#view.table.hashDomain(domain) }))
    const answer = await this.#call(address, { digests, complete: scope.complete, updates, wanted: [] })
    if (answer.differing.length === 0 && !answer.more) return ViewComparison.Equal

    const requestedNames: string[] = []
    const offeredMembers: Member[] = []
    for (const entries of answer.differing) this.#findDifferences(entries, requestedNames, offeredMembers)
    const resultWithoutGaps = answer.more ? ViewComparison.Partial : ViewComparison.Ahead
    if (requestedNames.length + offeredMembers.length === 0) return resultWithoutGaps
    await this.#pull(address, requestedNames, offeredMembers)
    return requestedNames.length === 0 ? resultWithoutGaps : ViewComparison.Behind
  }

  /** Answers the request of a peer to compare views. */
  handle (request: ExchangeRequest): ExchangeAnswer {
    const isPull = request.digests.length === 0
    const corrections = isPull ? this.#view.receivePulled(request.from, request.updates) : this.#view.receive(request.from, request.updates)
    const requestedMembers = request.wanted.map((name) => this.#view.table.getMember(name)).filter((member) => member !== undefined)
    const recentChanges = this.#guessMissingRecords(request)
    const differingEntries = this.#listDifferingEntries(request)
    const listedEntries = recentChanges.length === 0 ? differingEntries : differingEntries.filter((entries) => entries.domain !== this.#view.self.domain)
    const isTruncated = listedEntries.some((entries) => entries.after !== undefined || entries.before !== undefined)
    return {
      from: this.#view.localMember,
      updates: selectFittingRecords(this.#view, [...corrections, ...shuffle(requestedMembers, this.#random), ...recentChanges], MAXIMUM_EXCHANGE_BYTES),
      differing: listedEntries,
      more: isTruncated || listedEntries.length < this.#listDifferingDomains(request).length
    }
  }

  /**
   * Selects recent changes to send instead of versions. What a host of another domain lacks of the local domain is most often
   * a recent change, and sending it takes fewer bytes than listing all versions.
   */
  #guessMissingRecords (request: ExchangeRequest): Member[] {
    const { domain } = this.#view.self
    if (request.complete || request.from.host.domain === domain || this.#random() >= GUESS_PROBABILITY) return []
    const isDifferent = request.digests.some((digest) => digest.domain === domain && digest.hash !== this.#view.table.hashDomain(domain))
    const recentChanges = isDifferent ? this.#view.listChangesSince(performance.now() - RECENT_CHANGES_MILLISECONDS) : []
    return selectFittingRecords(this.#view, recentChanges, MAXIMUM_GOSSIP_BYTES)
  }

  /** Requests records until all have been received, as many at a time as fit into a message. */
  async #pull (address: string, requestedNames: string[], offeredMembers: Member[]): Promise<void> {
    let remainingNames = requestedNames
    for (let pulls = 0; pulls < MAXIMUM_PULLS; pulls++) {
      const answer = await this.#call(address, { digests: [], complete: false, updates: pulls === 0 ? offeredMembers : [], wanted: remainingNames.slice(0, MAXIMUM_REQUESTED_RECORDS) })
      const receivedNames = new Set(answer.updates.map((member) => member.host.name))
      remainingNames = remainingNames.filter((name) => !receivedNames.has(name))
      if (remainingNames.length === 0 || receivedNames.size === 0) return
      await this.#pause(PULL_INTERVAL_MILLISECONDS)
    }
  }

  async #call (address: string, request: Omit<ExchangeRequest, 'from'>): Promise<ExchangeAnswer> {
    const parameters: ExchangeRequest = {
      ...request,
      from: this.#view.localMember,
      updates: selectFittingRecords(this.#view, shuffle(request.updates, this.#random), MAXIMUM_EXCHANGE_BYTES)
    }
    const answer = await this.#callPeer<ExchangeAnswer>(address, PeerMethod.ExchangeDomains, parameters, this.#view.timings.exchangeTimeoutMilliseconds)
    this.#view.receivePulled(answer.from, answer.updates)
    return answer
  }

  #listDifferingEntries (request: ExchangeRequest): DomainEntries[] {
    const listedEntries: DomainEntries[] = []
    let entryCount = 0
    for (const domain of shuffle(this.#listDifferingDomains(request), this.#random)) {
      const entries = this.#view.table.listVersions(domain, this.#random())
      if (entryCount > 0 && entryCount + entries.entries.length > MAXIMUM_VERSION_ENTRIES) break
      listedEntries.push(entries)
      entryCount += entries.entries.length
    }
    return listedEntries
  }

  #listDifferingDomains (request: ExchangeRequest): string[] {
    const { table } = this.#view
    const namedDomains = new Set(request.digests.map((digest) => digest.domain))
    const differingDomains = request.digests.filter((digest) => table.hashDomain(digest.domain) !== digest.hash).map((digest) => digest.domain)
    const unnamedDomains = request.complete ? table.listDomains().filter((domain) => !namedDomains.has(domain) && table.hashDomain(domain) !== 0) : []
    return [...differingDomains, ...unnamedDomains]
  }

  #findDifferences (range: DomainEntries, requestedNames: string[], offeredMembers: Member[]): void {
    const listedNames = new Set(range.entries.map((entry) => entry.name))
    for (const entry of range.entries) {
      const stored = this.#view.table.getMember(entry.name)
      if (stored === undefined || wouldChange(stored, entry)) requestedNames.push(entry.name)
      if (stored !== undefined && wouldChange({ ...stored, ...entry }, stored)) offeredMembers.push(stored)
    }
    for (const member of this.#view.table.listRunningMembers(range.domain)) {
      const { name } = member.host
      const isInRange = (range.after === undefined || name > range.after) && (range.before === undefined || name < range.before)
      if (isInRange && !listedNames.has(name)) offeredMembers.push(member)
    }
  }
}

/** @returns whether a record of the given version would change the stored one */
function wouldChange (stored: Member, entry: Pick<VersionEntry, 'incarnation' | 'version' | 'state'>): boolean {
  const { incarnation, version, state } = entry
  return mergeMember(stored, { ...stored, incarnation, version, state }) !== stored
}
