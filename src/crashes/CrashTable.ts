import type { CrashRecord, CrashReport } from './CrashReport.js'
import { evictOldest, isOversized } from './evictOldest.js'
import { SimultaneousEnds } from './SimultaneousEnds.js'

/** Number of upstreams that may end of a request before no upstream gets it any more. */
const MAXIMUM_LOSSES = 3
/** Time after its last loss during which a request is remembered. */
const RETENTION_MILLISECONDS = 600_000
/** Time during which an unreachable upstream is remembered; hosts look at once when they are told. */
const UNREACHABLE_RETENTION_MILLISECONDS = 60_000
/** Losses kept of one request; a popular one may be in flight at every upstream that ends, and is excused each time. */
const MAXIMUM_LOSSES_KEPT = 100

interface RequestEntry {
  lostUpstreams: Set<string>
  excusedUpstreams: Set<string>
  lastLossAt: number
  revision: number
}

interface UnreachableEntry {
  at: number
  revision: number
}

/**
 * Requests under which upstreams ended, as observed by all hosts. Losses and excuses are only added, up to a size at which
 * old excused ones are forgotten, so tables that exchange reports become equal in whatever order these arrive.
 */
export class CrashTable {
  readonly #requestsByFingerprint = new Map<string, RequestEntry>()
  readonly #unreachableByIncarnation = new Map<string, UnreachableEntry>()
  readonly #simultaneousEnds = new SimultaneousEnds()
  /** Revisions at which ends were withdrawn, by the names of the ends. */
  readonly #withdrawnEnds = new Map<string, number>()
  #revision = 0

  /** Rises with each change. */
  get revision (): number {
    return this.#revision
  }

  /**
   * Merges what another host reports.
   *
   * @param report - losses, excuses, unreachable upstreams, and what is known of the ends themselves
   * @returns whether any of it was new
   */
  merge ({ requests, unreachableUpstreams, simultaneousEnds = [], withdrawnEnds = [] }: CrashReport): boolean {
    const previousRevision = this.#revision
    for (const end of withdrawnEnds) this.#withdraw(end)
    for (const end of simultaneousEnds) this.#simultaneousEnds.merge(end, () => ++this.#revision)
    for (const record of requests) this.#mergeRecord(record)
    for (const incarnation of unreachableUpstreams) this.recordUnreachable(incarnation)
    return this.#revision > previousRevision
  }

  /**
   * Records that an upstream process ended while it ran some requests.
   *
   * @param incarnation - the upstream process, see {@link getIncarnation}
   * @param fingerprints - the requests, any of which may have ended it
   */
  recordLoss (incarnation: string, fingerprints: Iterable<string>): void {
    const lostUpstreams = [this.#nameEnd(incarnation)]
    for (const fingerprint of fingerprints) this.#mergeRecord({ fingerprint, lostUpstreams, excusedUpstreams: [] })
  }

  /**
   * Records that upstream processes ended at the same moment under many requests, so that the ends have a common cause.
   *
   * @param id - identifies the observation; more upstreams may be added to it later
   * @param incarnations - the upstream processes
   */
  recordSimultaneous (id: string, incarnations: Iterable<string>): void {
    this.#simultaneousEnds.merge({ id, upstreams: [...incarnations].map((incarnation) => this.#nameEnd(incarnation)) }, () => ++this.#revision)
  }

  /** Records that an upstream process had not ended. A later end of it counts again. */
  withdrawEnd (incarnation: string): void {
    const end = this.#nameEnd(incarnation)
    if ([...this.#requestsByFingerprint.values()].some(({ lostUpstreams }) => lostUpstreams.has(end))) this.#withdraw(end)
  }

  /** Records that an upstream ran a request completely, so that the losses known so far had another cause. */
  excuse (fingerprint: string): void {
    const entry = this.#find(fingerprint)
    if (entry === undefined || this.#listOpenLosses(entry).length === 0) return
    const lostUpstreams = [...entry.lostUpstreams]
    this.#mergeRecord({ fingerprint, lostUpstreams, excusedUpstreams: lostUpstreams })
  }

  /** Records an upstream process to which no connection could be made. */
  recordUnreachable (incarnation: string): void {
    if (this.isUnreachable(incarnation)) return
    this.#unreachableByIncarnation.delete(incarnation)
    this.#unreachableByIncarnation.set(incarnation, { at: performance.now(), revision: ++this.#revision })
    if (isOversized(this.#unreachableByIncarnation)) evictOldest(this.#unreachableByIncarnation)
  }

  /** @returns whether a host recently could not reach the upstream process */
  isUnreachable (incarnation: string): boolean {
    const entry = this.#unreachableByIncarnation.get(incarnation)
    return entry !== undefined && performance.now() - entry.at < UNREACHABLE_RETENTION_MILLISECONDS
  }

  /** @returns whether so many upstreams ended under the request that no other one may get it */
  isPoison (fingerprint: string): boolean {
    return this.countLosses(fingerprint) >= MAXIMUM_LOSSES
  }

  /** @returns number of ends of upstreams under the request for which it is not excused; simultaneous ones count once */
  countLosses (fingerprint: string): number {
    const entry = this.#find(fingerprint)
    return entry === undefined ? 0 : this.#simultaneousEnds.count(this.#listOpenLosses(entry))
  }

  /** @returns whether the last end of an upstream process counts against a request */
  hasOpenLoss (fingerprint: string, incarnation: string): boolean {
    const entry = this.#find(fingerprint)
    return entry !== undefined && this.#listOpenLosses(entry).includes(this.#nameEnd(incarnation))
  }

  /** @returns milliseconds since this host learned of the last loss, infinite when there is none */
  getLossAge (fingerprint: string): number {
    return performance.now() - (this.#find(fingerprint)?.lastLossAt ?? Number.NEGATIVE_INFINITY)
  }

  /** @returns all that is known of one request */
  describe (fingerprint: string): CrashRecord {
    const entry = this.#find(fingerprint)
    return { fingerprint, lostUpstreams: [...entry?.lostUpstreams ?? []], excusedUpstreams: [...entry?.excusedUpstreams ?? []] }
  }

  /** @returns what changed after a revision */
  changedSince (revision: number): CrashReport {
    const hasChanged = ([, entry]: [string, { revision: number }]): boolean => entry.revision > revision
    const simultaneousEnds = this.#simultaneousEnds.changedSince(revision)
    const withdrawnEnds = [...this.#withdrawnEnds].filter(([, changedAt]) => changedAt > revision).map(([end]) => end)
    return {
      ...simultaneousEnds.length > 0 && { simultaneousEnds },
      ...withdrawnEnds.length > 0 && { withdrawnEnds },
      requests: [...this.#requestsByFingerprint].filter(hasChanged).map(([fingerprint]) => this.describe(fingerprint)).filter(({ lostUpstreams }) => lostUpstreams.length > 0),
      unreachableUpstreams: [...this.#unreachableByIncarnation].filter(hasChanged).map(([incarnation]) => incarnation).filter((incarnation) => this.isUnreachable(incarnation))
    }
  }

  #mergeRecord ({ fingerprint, lostUpstreams, excusedUpstreams }: CrashRecord): void {
    const entry = this.#find(fingerprint) ?? { lostUpstreams: new Set<string>(), excusedUpstreams: new Set<string>(), lastLossAt: Number.NEGATIVE_INFINITY, revision: 0 }
    const hasNewLoss = addAll(entry.lostUpstreams, lostUpstreams)
    const hasNewExcuse = addAll(entry.excusedUpstreams, excusedUpstreams)
    if (!hasNewLoss && !hasNewExcuse) return
    if (hasNewLoss) entry.lastLossAt = performance.now()
    forgetExcusedLosses(entry)
    entry.revision = ++this.#revision
    this.#requestsByFingerprint.delete(fingerprint)
    this.#requestsByFingerprint.set(fingerprint, entry)
    if (isOversized(this.#requestsByFingerprint)) evictOldest(this.#requestsByFingerprint)
  }

  #listOpenLosses ({ lostUpstreams, excusedUpstreams }: RequestEntry): string[] {
    return [...lostUpstreams].filter((end) => !excusedUpstreams.has(end) && !this.#withdrawnEnds.has(end))
  }

  /** @returns the name of the next end of an upstream process: its incarnation, with a number once an end was withdrawn */
  #nameEnd (incarnation: string): string {
    let end = incarnation
    for (let number = 2; this.#withdrawnEnds.has(end); number += 1) end = `${incarnation}#${number}`
    return end
  }

  #withdraw (end: string): void {
    if (this.#withdrawnEnds.has(end)) return
    this.#withdrawnEnds.set(end, ++this.#revision)
    if (isOversized(this.#withdrawnEnds)) evictOldest(this.#withdrawnEnds)
  }

  #find (fingerprint: string): RequestEntry | undefined {
    const entry = this.#requestsByFingerprint.get(fingerprint)
    if (entry === undefined || performance.now() - entry.lastLossAt <= RETENTION_MILLISECONDS) return entry
    this.#requestsByFingerprint.delete(fingerprint)
    return undefined
  }
}

/** Removes the oldest losses that are excused from an entry that is too large. */
function forgetExcusedLosses ({ lostUpstreams, excusedUpstreams }: RequestEntry): void {
  for (const upstream of excusedUpstreams) {
    if (lostUpstreams.size <= MAXIMUM_LOSSES_KEPT) return
    lostUpstreams.delete(upstream)
    excusedUpstreams.delete(upstream)
  }
}

/** @returns whether any value was new */
function addAll (target: Set<string>, values: readonly string[]): boolean {
  const previousSize = target.size
  for (const value of values) target.add(value)
  return target.size > previousSize
}
