import type { Log } from '../observe/Log.js'
import type { CallPeer } from '../transport/CallPeer.js'
import type { RegisterPeerHandler } from '../transport/PeerHandler.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { Step } from '../types/Step.js'
import { pause } from '../utils/pause.js'
import type { EntryHostTable } from './EntryHostTable.js'
import { PeerOutbox } from './PeerOutbox.js'
import type { ControlHost } from './ControlHost.js'
import type { ShareRegistryReply, ShareRegistryRequest } from './RegistryMessages.js'
import type { UpstreamEntry } from './UpstreamEntry.js'
import type { UpstreamRecord } from './UpstreamRecord.js'
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
  /** @returns whether an entry host reports to this control host directly; only such reports are passed on */
  hasLocalReport: (name: string) => boolean
  /** @returns address and location of this control host */
  describeSelf: () => ControlHost
  onControlHost: (host: ControlHost) => void
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
/** Maximum age of the entry host reports that are passed on to other control hosts. */
const MAXIMUM_ENTRY_HOST_AGE_MILLISECONDS = 1_200

/** Shares the upstreams and entry hosts that report to one control host with the other control hosts. */
export class RegistrySharer {
  readonly #options: RegistrySharerOptions
  readonly #outboxesByAddress = new Map<string, PeerOutbox>()
  #isRunning = false

  /** @param options - the tables to share, the peers and the transport */
  constructor (options: RegistrySharerOptions) {
    this.#options = options
    options.registerHandler(PeerMethod.ShareRegistry, (request: ShareRegistryRequest) => this.#merge(request))
    options.registerHandler(PeerMethod.FetchRegistry, () => this.#describeRegistry())
  }

  /** Sends the periodic messages and marks silent upstreams as lost, until {@link stop}. */
  async run (): Promise<void> {
    const { listPeers, isRemote } = this.#options
    this.#isRunning = true
    for (let interval = 0; this.#isRunning; interval += 1) {
      const isRemoteDue = interval % INTERVALS_PER_REMOTE_MESSAGE === 0
      for (const address of listPeers()) if (isRemoteDue || !isRemote(address)) this.#getOutbox(address).flush()
      const lost = this.#options.upstreams.sweep()
      for (const id of lost) this.#options.log.warn('upstream-silent', { step: Step.Registry, peer: id })
      if (lost.length > 0) this.#options.onChange()
      await pause(SHARE_INTERVAL_MILLISECONDS)
    }
  }

  stop (): void {
    this.#isRunning = false
  }

  /** Merges the registries of the other control hosts: without them, a host that starts would mistake a late announcement for a new upstream. */
  async fetchFromPeers (): Promise<void> {
    const { callPeer, log } = this.#options
    await Promise.all(this.#options.listPeers().map(async (address) => {
      try {
        this.#merge(await callPeer<ShareRegistryRequest>(address, PeerMethod.FetchRegistry, {}, FETCH_TIMEOUT_MILLISECONDS))
      } catch (error) {
        log.warn('registry-not-fetched', { step: Step.Registry, peer: address, cause: String(error) })
      }
    }))
  }

  /** Sends an announcement that changed nothing but its number to the other control hosts, with the next periodic message. */
  shareRenewal (record: UpstreamRecord): void {
    for (const address of this.#options.listPeers()) this.#getOutbox(address).addRenewal(record)
  }

  /** Sends a changed record to the other control hosts at once, and to each of them until it confirms. */
  shareChange (record: UpstreamRecord): void {
    this.shareWithMajority(record).catch(() => {})
  }

  /**
   * Sends a record to the other control hosts, and waits until a majority holds it.
   *
   * @param record - the changed record
   * @returns whether a majority of the voting members holds it in time; this host counts only if it votes
   */
  async shareWithMajority (record: UpstreamRecord): Promise<boolean> {
    const neededConfirmations = this.#options.majoritySize() - (this.#options.isVoter() ? 1 : 0)
    if (neededConfirmations <= 0) return true
    const voters = this.#options.listVoters()
    for (const address of this.#options.listPeers()) if (!voters.includes(address)) this.#getOutbox(address).send(record).catch(() => {})
    const calls = voters.map((address) => this.#getOutbox(address).send(record))
    return await new Promise((resolve) => {
      let confirmations = 0
      for (const call of calls) call.then(() => { if (++confirmations === neededConfirmations) resolve(true) }, () => {})
      Promise.allSettled(calls).then(() => { resolve(confirmations >= neededConfirmations) }, () => {})
    })
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
    return { sender: this.#options.describeSelf(), records, heard: [], entryHosts: this.#options.entryHosts.listWithAge(MAXIMUM_ENTRY_HOST_AGE_MILLISECONDS) }
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
