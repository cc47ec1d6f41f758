import { isUsableUpstream } from './isUsableUpstream.js'
import type { UpstreamEntry } from './UpstreamEntry.js'
import { isGone, isNewer, UpstreamReadiness, type UpstreamRecord } from './UpstreamRecord.js'

/** How long the entry of a gone or lost upstream is retained, so that a late announcement does not bring it back. */
const RETENTION_MILLISECONDS = 120_000
/** Difference in the end of a cold phase up to which followers need no update. */
const COLD_TOLERANCE_MILLISECONDS = 500

/** Time within which a restored upstream must announce itself: two of its periods, during which it may have left unnoticed. */
const RESTORED_GRACE_MILLISECONDS = 3_000
/** Age up to which upstreams are restored: those that left in this time are still remembered by the other hosts. */
const MAXIMUM_RESTORED_AGE_MILLISECONDS = RETENTION_MILLISECONDS / 2

/** Timings of {@link UpstreamTable}. */
export interface UpstreamTableTimings {
  /** Silence after which an upstream counts as lost. */
  lostMilliseconds: number
}

/**
 * The newest record of each known upstream. Records are merged by their own order, so that hosts that receive them in
 * different orders end with the same table.
 */
export class UpstreamTable {
  readonly #entriesById = new Map<string, UpstreamEntry>()
  /** Entries by address: one upstream after another uses an address, and a table has some thousand addresses. */
  readonly #entriesByAddress = new Map<string, Set<UpstreamEntry>>()
  readonly #timings: UpstreamTableTimings
  #revision = 0

  /** @param timings - the silence after which an upstream counts as lost */
  constructor (timings: UpstreamTableTimings) {
    this.#timings = timings
  }

  /** Silence after which an upstream counts as lost. */
  get lostMilliseconds (): number {
    return this.#timings.lostMilliseconds
  }

  /** Rises with each change that followers need to know. */
  get revision (): number {
    return this.#revision
  }

  /** @returns the entry of an upstream, undefined when it is unknown */
  get (id: string): UpstreamEntry | undefined {
    return this.#entriesById.get(id)
  }

  /** @returns whether the upstream was started again since, or a later one uses its address */
  isReplaced (record: UpstreamRecord): boolean {
    const latest = this.#entriesById.get(record.id)?.record
    return (latest !== undefined && latest.bornAt > record.bornAt) || this.#isSuperseded(record)
  }

  /** @returns all entries, also of upstreams that are gone */
  list (): UpstreamEntry[] {
    return [...this.#entriesById.values()]
  }

  /** @returns entries changed after a revision */
  changedSince (revision: number): UpstreamEntry[] {
    return this.list().filter((entry) => entry.revision > revision)
  }

  /**
   * Merges a record; an unusable or older one, or one whose address a later upstream uses, is ignored.
   *
   * @param record - state that the upstream announced
   * @param ageMilliseconds - time since the upstream sent it, as far as known
   * @returns whether it changed anything that followers need to know
   */
  merge (record: UpstreamRecord, ageMilliseconds = 0): boolean {
    if (!isUsableUpstream(record)) return false
    const now = performance.now()
    const known = this.#entriesById.get(record.id)
    if (known !== undefined && !isNewer(record, known.record)) return false
    if (this.#isSuperseded(record)) return false
    const coldUntil = now - ageMilliseconds + record.coldMilliseconds
    const hasChanged = known === undefined || isRelevantChange(known, record, coldUntil, now)
    const revision = hasChanged ? ++this.#revision : known.revision
    this.#put({ record, lastAnnouncedAt: now - ageMilliseconds, coldUntil, isLost: false, revision })
    if (hasChanged) this.#markPredecessorsGone(record)
    return hasChanged
  }

  /**
   * Restores the records from before a restart. Upstreams that do not announce themselves soon count as lost. After a long
   * time only departures are restored: other upstreams may have left, and no other host would know it any more.
   *
   * @param records - result of {@link describe} in the previous process run
   * @param recordAgeMilliseconds - time since the records were described
   */
  restore (records: readonly UpstreamRecord[], recordAgeMilliseconds: number): void {
    const restored = recordAgeMilliseconds <= MAXIMUM_RESTORED_AGE_MILLISECONDS ? records : records.filter(isGone)
    const age = Math.max(0, this.#timings.lostMilliseconds - RESTORED_GRACE_MILLISECONDS)
    for (const record of restored) this.merge({ ...record, coldMilliseconds: record.coldMilliseconds + age }, age)
  }

  /** @returns all records, with the remaining time of their cold phases as of now */
  describe (): UpstreamRecord[] {
    const now = performance.now()
    return this.list().map(({ record, coldUntil }) => ({ ...record, coldMilliseconds: Math.max(0, Math.round(coldUntil - now)) }))
  }

  /**
   * Renews the entry of an upstream on an announcement that changes nothing but its number.
   *
   * @returns false when the full record is needed: the upstream is unknown, gone, or known with another start
   */
  renew (id: string, bornAt: number, sequence: number, ageMilliseconds: number): boolean {
    const known = this.#entriesById.get(id)
    if (known === undefined || known.record.bornAt !== bornAt || isGone(known.record)) return false
    if (sequence <= known.record.sequence) return true
    this.merge({ ...known.record, sequence, coldMilliseconds: Math.max(0, known.coldUntil - performance.now() + ageMilliseconds) }, ageMilliseconds)
    return true
  }

  /**
   * Marks an upstream as gone.
   *
   * @returns its last record with that change, undefined when it is unknown
   */
  markGone (id: string): UpstreamRecord | undefined {
    const known = this.#entriesById.get(id)
    if (known === undefined) return undefined
    const record = { ...known.record, readiness: UpstreamReadiness.Gone }
    this.merge(record)
    return record
  }

  /**
   * Marks upstreams as lost that were silent for long, and discards entries that were silent for much longer.
   *
   * @returns identifiers of the upstreams that this call marked as lost
   */
  sweep (): string[] {
    const now = performance.now()
    const lost: string[] = []
    for (const [id, entry] of this.#entriesById) {
      const silentMilliseconds = now - entry.lastAnnouncedAt
      if (silentMilliseconds > RETENTION_MILLISECONDS) this.#discard(entry)
      if (entry.isLost || isGone(entry.record) || silentMilliseconds <= this.#timings.lostMilliseconds) continue
      entry.isLost = true
      entry.revision = ++this.#revision
      lost.push(id)
    }
    return lost
  }

  #put (entry: UpstreamEntry): void {
    const { id, address } = entry.record
    const previous = this.#entriesById.get(id)
    if (previous !== undefined) this.#removeFromAddress(previous)
    this.#entriesById.set(id, entry)
    const group = this.#entriesByAddress.get(address)
    if (group === undefined) this.#entriesByAddress.set(address, new Set([entry]))
    else group.add(entry)
  }

  #discard (entry: UpstreamEntry): void {
    this.#entriesById.delete(entry.record.id)
    this.#removeFromAddress(entry)
  }

  #removeFromAddress (entry: UpstreamEntry): void {
    const { address } = entry.record
    const group = this.#entriesByAddress.get(address)
    group?.delete(entry)
    if (group?.size === 0) this.#entriesByAddress.delete(address)
  }

  /** @returns entries of other upstreams at the address of a record */
  #listOthersAtAddress ({ id, address }: UpstreamRecord): UpstreamEntry[] {
    return [...this.#entriesByAddress.get(address) ?? []].filter(({ record }) => record.id !== id)
  }

  /** @returns whether a later upstream uses the address: an address belongs to the upstream that started last */
  #isSuperseded (record: UpstreamRecord): boolean {
    return this.#listOthersAtAddress(record).some(({ record: other }) => other.bornAt > record.bornAt)
  }

  #markPredecessorsGone (record: UpstreamRecord): void {
    for (const entry of this.#listOthersAtAddress(record)) {
      if (isGone(entry.record)) continue
      entry.record = { ...entry.record, readiness: UpstreamReadiness.Gone }
      entry.revision = ++this.#revision
    }
  }
}

function isRelevantChange (known: UpstreamEntry, record: UpstreamRecord, coldUntil: number, now: number): boolean {
  const { record: oldRecord } = known
  if (known.isLost || oldRecord.bornAt !== record.bornAt || oldRecord.readiness !== record.readiness) return true
  if (oldRecord.service !== record.service || oldRecord.address !== record.address || oldRecord.domain !== record.domain || oldRecord.slots !== record.slots) return true
  return Math.abs(Math.max(coldUntil, now) - Math.max(known.coldUntil, now)) > COLD_TOLERANCE_MILLISECONDS
}
