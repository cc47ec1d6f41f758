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
  /** Entries by address: an address serves one upstream after another, and a table has some thousand addresses. */
  readonly #byAddress = new Map<string, Set<UpstreamEntry>>()
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
    this.#put({ record, heardAt: now - ageMilliseconds, coldUntil, isLost: false, revision })
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
      if (silence > FORGET_MILLISECONDS) this.#drop(entry)
      if (entry.isLost || isGone(entry.record) || silence <= this.#timings.lostMilliseconds) continue
      entry.isLost = true
      entry.revision = ++this.#revision
      lost.push(id)
    }
    return lost
  }

  #put (entry: UpstreamEntry): void {
    const { id, address } = entry.record
    const former = this.#entries.get(id)
    if (former !== undefined) this.#leaveAddress(former)
    this.#entries.set(id, entry)
    const group = this.#byAddress.get(address)
    if (group === undefined) this.#byAddress.set(address, new Set([entry]))
    else group.add(entry)
  }

  #drop (entry: UpstreamEntry): void {
    this.#entries.delete(entry.record.id)
    this.#leaveAddress(entry)
  }

  #leaveAddress (entry: UpstreamEntry): void {
    const { address } = entry.record
    const group = this.#byAddress.get(address)
    group?.delete(entry)
    if (group?.size === 0) this.#byAddress.delete(address)
  }

  /** @returns entries of other upstreams at the address of a record */
  #neighbours ({ id, address }: UpstreamRecord): UpstreamEntry[] {
    return [...this.#byAddress.get(address) ?? []].filter(({ record }) => record.id !== id)
  }

  /** An address belongs to the upstream that started last. */
  #isSuperseded (record: UpstreamRecord): boolean {
    return this.#neighbours(record).some(({ record: other }) => other.bornAt > record.bornAt)
  }

  #dropPredecessors (record: UpstreamRecord): void {
    for (const entry of this.#neighbours(record)) {
      if (isGone(entry.record)) continue
      entry.record = { ...entry.record, readiness: UpstreamReadiness.Gone }
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
