import type { UpstreamEntry } from './UpstreamEntry.js'
import { isGone, isNewer, UpstreamReadiness, type UpstreamRecord } from './UpstreamRecord.js'

/** How long an upstream that is gone or lost is remembered, so that a late announcement does not bring it back. */
const FORGET_MILLISECONDS = 120_000
/** Difference in the end of a cold phase below which followers need no update. */
const COLD_TOLERANCE_MILLISECONDS = 500

/** Time in which a recalled upstream must announce itself: two of its periods, within which it may have left unheard. */
const RECALLED_MILLISECONDS = 3_000

/** Periods of {@link UpstreamTable}. */
export interface UpstreamTableTimings {
  /** Silence after which an upstream counts as lost. */
  lostMilliseconds: number
}

/**
 * What is known of upstreams, as the newest record of each. Records are merged by their own order,
 * so that hosts that hear them in different orders end with the same table.
 */
export class UpstreamTable {
  readonly #entries = new Map<string, UpstreamEntry>()
  readonly #timings: UpstreamTableTimings
  #revision = 0

  /** @param timings - when an upstream counts as lost */
  constructor (timings: UpstreamTableTimings) {
    this.#timings = timings
  }

  /** Rises with each change that followers need to know. */
  get revision (): number {
    return this.#revision
  }

  /** @returns what is known of an upstream */
  get (id: string): UpstreamEntry | undefined {
    return this.#entries.get(id)
  }

  /** @returns all entries, also of upstreams that are gone */
  list (): UpstreamEntry[] {
    return [...this.#entries.values()]
  }

  /** @returns entries changed after a revision */
  changedSince (revision: number): UpstreamEntry[] {
    return this.list().filter((entry) => entry.revision > revision)
  }

  /**
   * Takes in a record.
   *
   * @param record - the record
   * @param ageMilliseconds - how long ago the upstream sent it, as far as known
   * @returns whether it changed anything that followers need to know
   */
  merge (record: UpstreamRecord, ageMilliseconds = 0): boolean {
    const now = performance.now()
    const known = this.#entries.get(record.id)
    if (known !== undefined && !isNewer(record, known.record)) return false
    if (this.#isSuperseded(record)) return false
    const coldUntil = now - ageMilliseconds + record.coldMilliseconds
    const changed = known === undefined || differs(known, record, coldUntil, now)
    const revision = changed ? ++this.#revision : known.revision
    this.#entries.set(record.id, { record, heardAt: now - ageMilliseconds, coldUntil, isLost: false, revision })
    if (changed) this.#dropPredecessors(record)
    return changed
  }

  /**
   * Takes over what was known before a restart. Upstreams that do not announce themselves soon count as lost.
   *
   * @param records - result of {@link describe}
   */
  recall (records: readonly UpstreamRecord[]): void {
    const age = Math.max(0, this.#timings.lostMilliseconds - RECALLED_MILLISECONDS)
    for (const record of records) this.merge({ ...record, coldMilliseconds: record.coldMilliseconds + age }, age)
  }

  /** @returns all records, with what is left of their cold phases now */
  describe (): UpstreamRecord[] {
    const now = performance.now()
    return this.list().map(({ record, coldUntil }) => ({ ...record, coldMilliseconds: Math.max(0, Math.round(coldUntil - now)) }))
  }

  /**
   * Notes that an upstream was heard with nothing new.
   *
   * @returns false when the announcement is of another start, or needs the whole record
   */
  hear (id: string, bornAt: number, sequence: number, ageMilliseconds: number): boolean {
    const known = this.#entries.get(id)
    if (known === undefined || known.record.bornAt !== bornAt || isGone(known.record)) return false
    if (sequence <= known.record.sequence) return true
    this.merge({ ...known.record, sequence, coldMilliseconds: Math.max(0, known.coldUntil - performance.now() + ageMilliseconds) }, ageMilliseconds)
    return true
  }

  /**
   * Notes that an upstream has said goodbye.
   *
   * @returns its last record, undefined when it is unknown
   */
  remove (id: string): UpstreamRecord | undefined {
    const known = this.#entries.get(id)
    if (known === undefined) return undefined
    const record = { ...known.record, readiness: UpstreamReadiness.Gone }
    this.merge(record)
    return record
  }

  /**
   * Marks upstreams that were silent for long, and forgets those silent for much longer.
   *
   * @returns identifiers of upstreams that were lost just now
   */
  sweep (): string[] {
    const now = performance.now()
    const lost: string[] = []
    for (const [id, entry] of this.#entries) {
      const silence = now - entry.heardAt
      if (silence > FORGET_MILLISECONDS) this.#entries.delete(id)
      if (entry.isLost || isGone(entry.record) || silence <= this.#timings.lostMilliseconds) continue
      entry.isLost = true
      entry.revision = ++this.#revision
      lost.push(id)
    }
    return lost
  }

  /** An address belongs to the upstream that started last. */
  #isSuperseded (record: UpstreamRecord): boolean {
    return this.list().some(({ record: other }) => other.id !== record.id && other.address === record.address && other.bornAt > record.bornAt)
  }

  #dropPredecessors (record: UpstreamRecord): void {
    for (const entry of this.#entries.values()) {
      const { record: other } = entry
      if (other.id === record.id || other.address !== record.address || isGone(other)) continue
      entry.record = { ...other, readiness: UpstreamReadiness.Gone }
      entry.revision = ++this.#revision
    }
  }
}

function differs (known: UpstreamEntry, record: UpstreamRecord, coldUntil: number, now: number): boolean {
  const { record: old } = known
  if (known.isLost || old.bornAt !== record.bornAt || old.readiness !== record.readiness) return true
  if (old.service !== record.service || old.address !== record.address || old.domain !== record.domain || old.slots !== record.slots) return true
  return Math.abs(Math.max(coldUntil, now) - Math.max(known.coldUntil, now)) > COLD_TOLERANCE_MILLISECONDS
}
