import type { ControlHost } from './ControlHost.js'
import type { EntryHost } from './EntryHost.js'
import type { HeardRow, ShareRegistryReply, ShareRegistryRequest } from './RegistryMessages.js'
import { pause } from '../utils/pause.js'
import type { UpstreamRecord } from './UpstreamRecord.js'

/** Wait for one answer: a round trip between regions takes 110 ms, and a busy host some more. */
const CALL_MILLISECONDS = 400
/** How long a sender waits for the record to be held, below the second within which an upstream wants its answer. */
const HELD_MILLISECONDS = 900

/** Pause before a record that was not confirmed is sent again. */
const RESEND_MILLISECONDS = 50

/** What an outbox works with. */
export interface PeerOutboxOptions {
  describeSelf: () => ControlHost
  call: (request: ShareRegistryRequest, timeoutMilliseconds: number) => Promise<ShareRegistryReply>
  findRecord: (id: string) => UpstreamRecord | undefined
  listEntryHosts: () => ShareRegistryRequest['entryHosts']
}

interface WaitingRecord {
  record: UpstreamRecord
  since: number
}

/** What one other control host has not confirmed yet. */
export class PeerOutbox {
  readonly #options: PeerOutboxOptions
  readonly #records = new Map<string, WaitingRecord>()
  readonly #heard = new Map<string, { record: UpstreamRecord, at: number }>()
  #flushing = false

  /** @param options - how to call the peer, and what else it is told */
  constructor (options: PeerOutboxOptions) {
    this.#options = options
  }

  /** Adds to the next message that an upstream was heard. */
  addHeard (record: UpstreamRecord): void {
    this.#heard.set(record.id, { record, at: performance.now() })
  }

  /**
   * Sends a record at once, again and again until it is confirmed; after the wait it goes with the periodic messages.
   *
   * @throws when it is not confirmed in time
   */
  async send (record: UpstreamRecord): Promise<void> {
    const waiting: WaitingRecord = { record, since: performance.now() }
    this.#records.set(record.id, waiting)
    while (performance.now() - waiting.since < HELD_MILLISECONDS) {
      const isHeld = await this.#call([waiting], [], []).then(() => true, () => false)
      if (isHeld) return
      await pause(RESEND_MILLISECONDS)
    }
    throw new Error('not confirmed in time')
  }

  /** Sends all that waits, unless the last message is still under way. */
  flush (): void {
    const entryHosts = this.#options.listEntryHosts()
    if (this.#flushing || (this.#records.size === 0 && this.#heard.size === 0 && entryHosts.length === 0)) return
    this.#flushing = true
    const heard = [...this.#heard.values()]
    this.#heard.clear()
    this.#call([...this.#records.values()], heard.map(({ record, at }) => toRow(record, at)), entryHosts)
      .catch(() => { for (const each of heard) if (!this.#heard.has(each.record.id)) this.#heard.set(each.record.id, each) })
      .finally(() => { this.#flushing = false })
  }

  async #call (waiting: WaitingRecord[], heard: HeardRow[], entryHosts: Array<{ host: EntryHost, ageMilliseconds: number }>): Promise<void> {
    const now = performance.now()
    const records = waiting.map(({ record, since }) => ({ record, ageMilliseconds: Math.round(now - since) }))
    const { unknown } = await this.#options.call({ sender: this.#options.describeSelf(), records, heard, entryHosts }, CALL_MILLISECONDS)
    for (const each of waiting) {
      if (this.#records.get(each.record.id) === each) this.#records.delete(each.record.id)
    }
    for (const id of unknown) this.#wantRecord(id)
  }

  #wantRecord (id: string): void {
    const record = this.#options.findRecord(id)
    if (record !== undefined && !this.#records.has(id)) this.#records.set(id, { record, since: performance.now() })
  }
}

function toRow (record: UpstreamRecord, at: number): HeardRow {
  return [record.id, record.bornAt, record.sequence, Math.round(performance.now() - at)]
}
