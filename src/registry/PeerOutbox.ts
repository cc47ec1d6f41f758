import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { RenewalRow, ShareRegistryReply, ShareRegistryRequest } from './RegistryMessages.js'
import { pause } from '../utils/pause.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** Wait for one answer: a round trip between regions takes 110 ms, and a busy host some more. */
const CALL_TIMEOUT_MILLISECONDS = 400
/** How long a sender waits for the record to be held, below the second within which an upstream wants its answer. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 900

/** Pause before a record that was not confirmed is sent again. */
const RESEND_DELAY_MILLISECONDS = 50

/** What an outbox works with. */
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

/** What one other control host has not confirmed yet. */
export class PeerOutbox {
  readonly #options: PeerOutboxOptions
  readonly #pendingRecordsById = new Map<string, PendingRecord>()
  readonly #pendingRenewalsById = new Map<string, { record: UpstreamRecord, receivedAt: number }>()
  #isFlushing = false

  /** @param options - how to call the peer, and what else it is told */
  constructor (options: PeerOutboxOptions) {
    this.#options = options
  }

  /** Adds to the next message that an upstream was heard. */
  addRenewal (record: UpstreamRecord): void {
    this.#pendingRenewalsById.set(record.id, { record, receivedAt: performance.now() })
  }

  /**
   * Sends a record at once, again and again until it is confirmed; after the wait it goes with the periodic messages.
   *
   * @throws when it is not confirmed in time
   */
  async send (record: UpstreamRecord): Promise<void> {
    const pending: PendingRecord = { record, queuedAt: performance.now() }
    this.#pendingRecordsById.set(record.id, pending)
    while (performance.now() - pending.queuedAt < CONFIRMATION_TIMEOUT_MILLISECONDS) {
      const isConfirmed = await this.#sendBatch([pending], [], []).then(() => true, () => false)
      if (isConfirmed) return
      await pause(RESEND_DELAY_MILLISECONDS)
    }
    throw new Error('not confirmed in time')
  }

  /** Sends all that waits, unless the last message is still under way. */
  flush (): void {
    const entryHosts = this.#options.listEntryHosts()
    if (this.#isFlushing || (this.#pendingRecordsById.size === 0 && this.#pendingRenewalsById.size === 0 && entryHosts.length === 0)) return
    this.#isFlushing = true
    const renewals = [...this.#pendingRenewalsById.values()]
    this.#pendingRenewalsById.clear()
    this.#sendBatch([...this.#pendingRecordsById.values()], renewals.map(({ record, receivedAt }) => toRenewalRow(record, receivedAt)), entryHosts)
      .catch(() => { for (const renewal of renewals) if (!this.#pendingRenewalsById.has(renewal.record.id)) this.#pendingRenewalsById.set(renewal.record.id, renewal) })
      .finally(() => { this.#isFlushing = false })
  }

  async #sendBatch (pending: PendingRecord[], renewals: RenewalRow[], entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>): Promise<void> {
    const now = performance.now()
    const records = pending.map(({ record, queuedAt }) => ({ record, ageMilliseconds: Math.round(now - queuedAt) }))
    const { unknown } = await this.#options.call({ sender: this.#options.describeSelf(), records, heard: renewals, entryHosts }, CALL_TIMEOUT_MILLISECONDS)
    for (const entry of pending) {
      if (this.#pendingRecordsById.get(entry.record.id) === entry) this.#pendingRecordsById.delete(entry.record.id)
    }
    for (const id of unknown) this.#queueRecord(id)
  }

  #queueRecord (id: string): void {
    const record = this.#options.findRecord(id)
    if (record !== undefined && !this.#pendingRecordsById.has(id)) this.#pendingRecordsById.set(id, { record, queuedAt: performance.now() })
  }
}

function toRenewalRow (record: UpstreamRecord, receivedAt: number): RenewalRow {
  return [record.id, record.bornAt, record.sequence, Math.round(performance.now() - receivedAt)]
}
