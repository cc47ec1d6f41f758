import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { RenewalRow, ShareRegistryReply, ShareRegistryRequest } from './RegistryMessages.js'
import { pause } from '../utils/pause.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** Timeout of one call: a round trip between regions takes 110 ms, and a busy host takes longer. */
const CALL_TIMEOUT_MILLISECONDS = 400
/** How long a sender waits for a confirmation, below the second within which an upstream expects the answer to its announcement. */
export const CONFIRMATION_TIMEOUT_MILLISECONDS = 900

/** Delay before an unconfirmed record is sent again. */
const RESEND_DELAY_MILLISECONDS = 50

/** Calls for single records that wait for an answer of the peer; further records wait and share a call. Each call takes 10 KB on the heap. */
const MAXIMUM_SINGLE_CALLS = 32
/** Records that share a call. */
const MAXIMUM_SHARED_RECORDS = 256

/** Dependencies of {@link PeerOutbox}. */
export interface PeerOutboxOptions {
  describeSelf: () => ControlHost
  call: (request: ShareRegistryRequest, timeoutMilliseconds: number) => Promise<ShareRegistryReply>
  findRecord: (id: string) => UpstreamRecord | undefined
  listEntryHosts: () => ShareRegistryRequest['entryHosts']
}

interface PendingRecord {
  record: UpstreamRecord
  queuedAt: number
}

interface WaitingRecord {
  pending: PendingRecord
  resolve: (sent: Promise<void>) => void
}

/** Updates that one other control host has not confirmed yet. */
export class PeerOutbox {
  readonly #options: PeerOutboxOptions
  readonly #pendingRecordsById = new Map<string, PendingRecord>()
  readonly #pendingRenewalsById = new Map<string, { record: UpstreamRecord, receivedAt: number }>()
  #isFlushing = false
  #callCount = 0
  #waiting: WaitingRecord[] = []

  /** @param options - the call to the peer, and the local state to send */
  constructor (options: PeerOutboxOptions) {
    this.#options = options
  }

  /** Queues an announcement that changed nothing but its number for the next periodic message. */
  addRenewal (record: UpstreamRecord): void {
    this.#pendingRenewalsById.set(record.id, { record, receivedAt: performance.now() })
  }

  /** Queues a record for the next periodic message, until it is confirmed. */
  addRecord (record: UpstreamRecord): void {
    if (!this.#pendingRecordsById.has(record.id)) this.#pendingRecordsById.set(record.id, { record, queuedAt: performance.now() })
  }

  /**
   * Sends a record at once, and repeatedly until it is confirmed. After the timeout it stays queued for the periodic messages.
   *
   * @throws Error when it is not confirmed within the timeout
   */
  async send (record: UpstreamRecord): Promise<void> {
    const pending: PendingRecord = { record, queuedAt: performance.now() }
    this.#pendingRecordsById.set(record.id, pending)
    while (performance.now() - pending.queuedAt < CONFIRMATION_TIMEOUT_MILLISECONDS) {
      const isConfirmed = await this.#sendSoon(pending).then(() => true, () => false)
      if (isConfirmed) return
      await pause(RESEND_DELAY_MILLISECONDS)
    }
    throw new Error('the control host did not confirm the upstream record in time')
  }

  /**
   * Sends everything that is queued, unless the previous message is still in flight.
   *
   * @param isContactWanted - whether to send a message even if nothing is queued, as the peer should know that this host runs and where
   */
  flush (isContactWanted = false): void {
    const entryHosts = this.#options.listEntryHosts()
    if (this.#isFlushing || (!isContactWanted && this.#pendingRecordsById.size === 0 && this.#pendingRenewalsById.size === 0 && entryHosts.length === 0)) return
    this.#isFlushing = true
    const renewals = [...this.#pendingRenewalsById.values()]
    this.#pendingRenewalsById.clear()
    this.#sendBatch([...this.#pendingRecordsById.values()], renewals.map(({ record, receivedAt }) => toRenewalRow(record, receivedAt)), entryHosts)
      .catch(() => { for (const renewal of renewals) if (!this.#pendingRenewalsById.has(renewal.record.id)) this.#pendingRenewalsById.set(renewal.record.id, renewal) })
      .finally(() => { this.#isFlushing = false })
  }

  /** Callers that announce without end, beside a peer that is slow, would else have thousands of calls wait for it. */
  async #sendSoon (pending: PendingRecord): Promise<void> {
    if (this.#callCount < MAXIMUM_SINGLE_CALLS) return await this.#sendCounted([pending])
    await new Promise<void>((resolve) => { this.#waiting.push({ pending, resolve }) })
  }

  async #sendCounted (pending: PendingRecord[]): Promise<void> {
    this.#callCount += 1
    try {
      await this.#sendBatch(pending, [], [])
    } finally {
      this.#callCount -= 1
      this.#sendWaiting()
    }
  }

  #sendWaiting (): void {
    const shared = this.#waiting.splice(0, MAXIMUM_SHARED_RECORDS)
    if (shared.length === 0) return
    const sent = this.#sendCounted(shared.map(({ pending }) => pending))
    for (const { resolve } of shared) resolve(sent)
  }

  async #sendBatch (pending: PendingRecord[], renewals: RenewalRow[], entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>): Promise<void> {
    const now = performance.now()
    const records = pending.map(({ record, queuedAt }) => ({ record, ageMilliseconds: Math.round(now - queuedAt) }))
    const { unknown } = await this.#options.call({ sender: this.#options.describeSelf(), records, heard: renewals, entryHosts }, CALL_TIMEOUT_MILLISECONDS)
    for (const entry of pending) {
      if (this.#pendingRecordsById.get(entry.record.id) === entry) this.#pendingRecordsById.delete(entry.record.id)
    }
    for (const id of unknown) {
      const record = this.#options.findRecord(id)
      if (record !== undefined) this.addRecord(record)
    }
  }
}

function toRenewalRow (record: UpstreamRecord, receivedAt: number): RenewalRow {
  return [record.id, record.bornAt, record.sequence, Math.round(performance.now() - receivedAt)]
}
