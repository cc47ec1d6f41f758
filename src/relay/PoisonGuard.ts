import { RecentMap } from '../utils/RecentMap.js'

const RETENTION_MILLISECONDS = 600_000
const MAXIMUM_FINGERPRINTS = 10_000
const MINIMUM_POISON_LOSSES = 2

/** Losses of upstreams that ran one request. */
export interface PoisonRecord {
  fingerprint: string
  /** Upstream processes that died while they ran it, by identity. */
  lostUpstreams: string[]
}

interface LossRecord {
  lostUpstreams: Set<string>
  expiresAt: number
}

/**
 * Remembers requests whose upstream died under them, and requests that ran to their end.
 * After the second loss a request is refused; after the first it is a suspect: it runs once at a time over all hosts,
 * and no two suspects share an upstream, so that an innocent request is not blamed with a guilty one.
 */
export class PoisonGuard {
  readonly #lossRecords = new RecentMap<LossRecord>(MAXIMUM_FINGERPRINTS)
  readonly #provenUntil = new RecentMap<number>(MAXIMUM_FINGERPRINTS)

  /** @returns whether the request must not reach another upstream */
  isPoison (fingerprint: string): boolean {
    return this.#countLosses(fingerprint) >= MINIMUM_POISON_LOSSES
  }

  /** @returns whether the request was in flight on an upstream that died */
  isSuspect (fingerprint: string): boolean {
    return this.#countLosses(fingerprint) > 0
  }

  /** @returns whether the request ran to its end lately, and no upstream died of it since */
  isProven (fingerprint: string): boolean {
    const expiresAt = this.#provenUntil.get(fingerprint)
    if (expiresAt === undefined) return false
    if (expiresAt > performance.now()) return true
    this.#provenUntil.delete(fingerprint)
    return false
  }

  /**
   * Takes in losses seen here or told by another host.
   *
   * @param record - the request and the upstreams that it may have killed
   */
  recordLoss (record: PoisonRecord): void {
    const lossRecord = this.#lossRecords.get(record.fingerprint) ?? { lostUpstreams: new Set<string>(), expiresAt: 0 }
    for (const upstream of record.lostUpstreams) lossRecord.lostUpstreams.add(upstream)
    lossRecord.expiresAt = performance.now() + RETENTION_MILLISECONDS
    this.#provenUntil.delete(record.fingerprint)
    this.#lossRecords.set(record.fingerprint, lossRecord)
  }

  /** Clears a suspect that ran to its end. */
  recordSuccess (fingerprint: string): void {
    this.#lossRecords.delete(fingerprint)
    this.#provenUntil.set(fingerprint, performance.now() + RETENTION_MILLISECONDS)
  }

  /**
   * Takes in that another host cleared a suspect. Losses that the other host did not know of stay.
   *
   * @param record - the request and the losses that are forgiven
   */
  forgive ({ fingerprint, lostUpstreams }: PoisonRecord): void {
    const lossRecord = this.#lossRecords.get(fingerprint)
    for (const upstream of lostUpstreams) lossRecord?.lostUpstreams.delete(upstream)
    if (lossRecord?.lostUpstreams.size === 0) this.#lossRecords.delete(fingerprint)
  }

  /** @returns what is known of a request, for other hosts */
  describe (fingerprint: string): PoisonRecord {
    return { fingerprint, lostUpstreams: [...this.#lossRecords.get(fingerprint)?.lostUpstreams ?? []] }
  }

  #countLosses (fingerprint: string): number {
    const record = this.#lossRecords.get(fingerprint)
    if (record === undefined) return 0
    if (record.expiresAt > performance.now()) return record.lostUpstreams.size
    this.#lossRecords.delete(fingerprint)
    return 0
  }
}
