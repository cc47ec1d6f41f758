import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import { waitWithinDeadline } from '../utils/waitWithinDeadline.js'
import { waitForGrants } from '../agreement/tasks/waitForGrants.js'
import type { EntryHostTable } from './EntryHostTable.js'
import { CONFIRMATION_TIMEOUT_MILLISECONDS, PeerOutbox } from './PeerOutbox.js'
import type { ControlHost } from './ControlHost.js'
import { RegistryOrigin, type ShareRegistryReply, type ShareRegistryRequest } from './RegistryMessages.js'
import type { UpstreamEntry } from './UpstreamEntry.js'
import { isLeaving, type UpstreamRecord } from './UpstreamRecord.js'
import type { UpstreamTable } from './UpstreamTable.js'

/** Dependencies of {@link RegistrySharer}. */
export interface RegistrySharerOptions {
  upstreams: UpstreamTable
  entryHosts: EntryHostTable
  callPeer: CallPeer
  registerHandler: RegisterPeerHandler
  /** @returns peer addresses of the other control hosts */
  listPeers: () => string[]
  /** @returns whether a control host is in another region than this one */
  isRemote: (address: string) => boolean
  /** @returns peer addresses of the other voting members of the replica group */
  listVoters: () => string[]
  /** @returns whether this control host is a voting member of the replica group */
  isVoter: () => boolean
  /** @returns number of voting members that form a majority */
  majoritySize: () => number
  /** Resolves once all changes of the upstreams so far are durable at this control host. */
  persist: () => Promise<void>
  /** @returns origin of the registry with which this host started */
  firstOrigin: () => RegistryOrigin
  /** @returns whether an entry host reports to this control host directly; only such reports are passed on */
  hasLocalReport: (name: string) => boolean
  /** @returns address and location of this control host */
  describeSelf: () => ControlHost
  onControlHost: (host: ControlHost) => void
  /** @returns whether each periodic message is sent although there is nothing to share, so that the others know which control hosts run */
  isContactWanted?: () => boolean
  /** Called when something changed that followers need to know. */
  onChange: () => void
  log: Log
}

/** Interval of the messages that renew upstreams and entry hosts at the other control hosts; several fit into the silence after which an upstream counts as lost. */
const SHARE_INTERVAL_MILLISECONDS = 500
/** Number of these intervals between two messages to a control host in another region, whose links are narrow. */
const INTERVALS_PER_REMOTE_MESSAGE = 2
/** Timeout for fetching the full registry of another control host. */
const FETCH_TIMEOUT_MILLISECONDS = 1_000
/** Pause before a control host that did not answer is asked for its registry again; doubled after each failure. */
const FETCH_RETRY_MILLISECONDS = 100
const MAXIMUM_FETCH_RETRY_MILLISECONDS = 5_000
/** Maximum time that a host which starts waits for the registries of a majority; entry hosts keep what they know meanwhile. */
const MAXIMUM_FETCH_MILLISECONDS = 1_500
/** Maximum age of the entry host reports that are passed on to other control hosts. */
const MAXIMUM_ENTRY_HOST_AGE_MILLISECONDS = 1_200

/** Shares the upstreams and entry hosts that report to one control host with the other control hosts. */
export class RegistrySharer {
  readonly #options: RegistrySharerOptions
  readonly #outboxesByAddress = new Map<string, PeerOutbox>()
  #isRunning = false
  #isStopped = false
  #hasMerged = false

  /** @param options - the tables to share, the peers and the transport */
  constructor (options: RegistrySharerOptions) {
    this.#options = options
    options.registerHandler(PeerMethod.ShareRegistry, (request: ShareRegistryRequest) => this.#confirm(request))
    options.registerHandler(PeerMethod.FetchRegistry, () => this.#describeRegistry())
  }

  /** Origin of the registry as it is now. */
  get origin (): RegistryOrigin {
    return this.#hasMerged ? RegistryOrigin.Merged : this.#options.firstOrigin()
  }

  /** Sends the periodic messages and marks silent upstreams as lost, until {@link stop}. */
  async run (): Promise<void> {
    const { listPeers, isRemote, isContactWanted = () => false } = this.#options
    this.#isRunning = true
    for (let interval = 0; this.#isRunning; interval += 1) {
      const isRemoteDue = interval % INTERVALS_PER_REMOTE_MESSAGE === 0
      for (const address of listPeers()) if (isRemoteDue || !isRemote(address)) this.#getOutbox(address).flush(isContactWanted())
      const lost = this.#options.upstreams.sweep()
      for (const id of lost) this.#options.log.warn('upstream-silent', { step: Step.Registry, peer: id })
      if (lost.length > 0) this.#options.onChange()
      await pause(SHARE_INTERVAL_MILLISECONDS)
    }
  }

  stop (): void {
    this.#isRunning = false
    this.#isStopped = true
  }

  /**
   * Merges the registries of the other control hosts: without them, a host that starts would mistake a late announcement for
   * a new upstream, and bring back one whose departure it had not heard of. What a majority holds is known once the
   * registries of a majority are merged; the others are merged later. Hosts that lost their disks don't count, this one
   * included.
   */
  async fetchFromPeers (): Promise<void> {
    const merged = this.#mergeMajority().then((isMerged) => { this.#hasMerged = isMerged })
    await waitWithinDeadline(merged, performance.now() + MAXIMUM_FETCH_MILLISECONDS)
    for (const { record } of this.#options.upstreams.list()) if (isLeaving(record)) this.#queueForPeers(record)
  }

  /** @returns whether the registries of a majority are merged */
  async #mergeMajority (): Promise<boolean> {
    const { listPeers, listVoters, majoritySize, isVoter, firstOrigin } = this.#options
    const voters = listVoters()
    if (voters.length === 0) return await this.#mergeWithoutGroup(listPeers(), firstOrigin())
    const neededVoters = Math.min(voters.length, majoritySize() - (isVoter() && firstOrigin() !== RegistryOrigin.Empty ? 1 : 0))
    const fetches = listPeers().map((address) => this.#fetchUntil(address, (origin) => origin !== RegistryOrigin.Empty).then((isFetched) => isFetched && voters.includes(address)))
    return await waitForGrants(fetches, neededVoters)
  }

  /** A host without a log doesn't know the voters, so it relies on a host that has merged the registries of a majority. */
  async #mergeWithoutGroup (peers: string[], firstOrigin: RegistryOrigin): Promise<boolean> {
    const fetches = peers.map((address) => this.#fetchOnce(address))
    const isMerged = firstOrigin === RegistryOrigin.Merged || await waitForGrants(peers.map((address) => this.#fetchUntil(address, (origin) => origin === RegistryOrigin.Merged)), Math.min(1, peers.length))
    await Promise.all(fetches)
    return isMerged
  }

  /** @returns whether a registry of the wanted origin was fetched; only the end of one of the two hosts ends the attempts */
  async #fetchUntil (address: string, isWanted: (origin: RegistryOrigin) => boolean): Promise<boolean> {
    const { listPeers } = this.#options
    for (let pauseMilliseconds = FETCH_RETRY_MILLISECONDS; ; pauseMilliseconds = Math.min(2 * pauseMilliseconds, MAXIMUM_FETCH_RETRY_MILLISECONDS)) {
      const origin = await this.#fetchOnce(address)
      if (origin !== undefined && isWanted(origin)) return true
      await pause(pauseMilliseconds)
      if (this.#isStopped || !listPeers().includes(address)) return false
    }
  }

  /** @returns origin of the registry that was merged, undefined when the control host did not answer */
  async #fetchOnce (address: string): Promise<RegistryOrigin | undefined> {
    const { callPeer, log } = this.#options
    try {
      const registry = await callPeer<ShareRegistryRequest>(address, PeerMethod.FetchRegistry, {}, FETCH_TIMEOUT_MILLISECONDS)
      this.#merge(registry)
      return registry.origin ?? RegistryOrigin.Restored
    } catch (error) {
      log.warn('registry-not-fetched', { step: Step.Registry, peer: address, cause: String(error) })
      return undefined
    }
  }

  #queueForPeers (record: UpstreamRecord): void {
    for (const address of this.#options.listPeers()) this.#getOutbox(address).addRecord(record)
  }

  /** Sends an announcement that changed nothing but its number to the other control hosts, with the next periodic message. */
  shareRenewal (record: UpstreamRecord): void {
    for (const address of this.#options.listPeers()) this.#getOutbox(address).addRenewal(record)
  }

  /** Sends a changed record to the other control hosts at once, and to each of them until it confirms. */
  shareChange (record: UpstreamRecord): void {
    for (const address of this.#options.listPeers()) this.#getOutbox(address).send(record).catch(() => {})
  }

  /**
   * Sends a record to the other control hosts, and waits until it is durable at a majority: all of them may be killed right
   * after the acknowledgement.
   *
   * @param record - the changed record, merged here
   * @returns whether a majority of the voting members has made it durable in time; this host counts only if it votes
   */
  async shareWithMajority (record: UpstreamRecord): Promise<boolean> {
    const { listPeers, listVoters, isVoter, majoritySize, persist } = this.#options
    const voters = listVoters()
    const sends = listPeers().map((address) => ({ address, sent: this.#getOutbox(address).send(record).then(() => true, () => false) }))
    const confirmations = sends.filter(({ address }) => voters.includes(address)).map(({ sent }) => sent)
    if (isVoter()) confirmations.push(persist().then(() => true, () => false))
    const isConfirmed = waitForGrants(confirmations, majoritySize())
    return await waitWithinDeadline(isConfirmed, performance.now() + CONFIRMATION_TIMEOUT_MILLISECONDS) ?? false
  }

  #getOutbox (address: string): PeerOutbox {
    const existing = this.#outboxesByAddress.get(address)
    if (existing !== undefined) return existing
    const { callPeer, upstreams, entryHosts, hasLocalReport } = this.#options
    const outbox = new PeerOutbox({
      describeSelf: this.#options.describeSelf,
      call: (request, timeoutMilliseconds) => callPeer<ShareRegistryReply>(address, PeerMethod.ShareRegistry, request, timeoutMilliseconds),
      findRecord: (id) => findRecord(upstreams, id),
      listEntryHosts: () => entryHosts.listWithAge(MAXIMUM_ENTRY_HOST_AGE_MILLISECONDS).filter(({ host }) => hasLocalReport(host.name))
    })
    this.#outboxesByAddress.set(address, outbox)
    return outbox
  }

  #describeRegistry (): ShareRegistryRequest {
    const now = performance.now()
    const records = this.#options.upstreams.list().map((entry) => {
      const ageMilliseconds = Math.round(now - entry.lastAnnouncedAt)
      const record = refreshColdMilliseconds(entry)
      return { record: { ...record, coldMilliseconds: record.coldMilliseconds + ageMilliseconds }, ageMilliseconds }
    })
    return { origin: this.origin, sender: this.#options.describeSelf(), records, heard: [], entryHosts: this.#options.entryHosts.listWithAge(MAXIMUM_ENTRY_HOST_AGE_MILLISECONDS) }
  }

  /** Answers a message of another control host, which counts on each departure in it from then on. */
  async #confirm (request: ShareRegistryRequest): Promise<ShareRegistryReply> {
    const reply = this.#merge(request)
    if (request.records.some(({ record }) => isLeaving(record))) await this.#options.persist()
    return reply
  }

  #merge ({ sender, records, heard, entryHosts }: ShareRegistryRequest): ShareRegistryReply {
    const { upstreams, onChange, onControlHost } = this.#options
    onControlHost(sender)
    const previousRevision = upstreams.revision
    for (const { record, ageMilliseconds } of records) upstreams.merge(record, ageMilliseconds)
    const unknown = heard.filter((renewal) => !upstreams.renew(...renewal)).map(([id]) => id)
    for (const { host, ageMilliseconds } of entryHosts) this.#options.entryHosts.recordReport(host, ageMilliseconds)
    if (upstreams.revision !== previousRevision) onChange()
    return { unknown }
  }
}

function findRecord (upstreams: UpstreamTable, id: string): UpstreamRecord | undefined {
  const entry = upstreams.get(id)
  return entry === undefined ? undefined : refreshColdMilliseconds(entry)
}

/** @returns the record with the remaining time of the cold phase as of now */
function refreshColdMilliseconds ({ record, coldUntil }: UpstreamEntry): UpstreamRecord {
  return { ...record, coldMilliseconds: Math.max(0, Math.round(coldUntil - performance.now())) }
}
