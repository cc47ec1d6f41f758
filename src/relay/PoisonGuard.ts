import { RecentMap } from '../utils/RecentMap.js'

const RETENTION_MILLISECONDS = 600_000
const MINIMUM_RETAINED_FINGERPRINTS = 10_000
const MINIMUM_POISON_LOSSES = 2

/** Upstreams that died while they ran one request. */
export interface PoisonRecord {
  fingerprint: string
  /** Identities of the upstream processes that died. */
  lostUpstreams: string[]
}

interface LossRecord {
  lostUpstreams: Set<string>
  expiresAt: number
}

/**
 * Records requests whose upstream died while running them, and requests that ran to completion.
 * After the first loss a request is a suspect: only one copy of it runs at a time over all hosts, and no two suspects
 * share an upstream, so that a harmless request is not blamed together with a harmful one. After the second loss it is refused.
 */
export class PoisonGuard {
  readonly #lossRecords = new RecentMap<LossRecord>(MINIMUM_RETAINED_FINGERPRINTS)
  readonly #provenUntil = new RecentMap<number>(MINIMUM_RETAINED_FINGERPRINTS)

  /** @returns whether the request must not reach another upstream */
  isPoison (fingerprint: string): boolean {
    return this.#countLosses(fingerprint) >= MINIMUM_POISON_LOSSES
  }

  /** @returns whether the request was in flight on an upstream that died */
  isSuspect (fingerprint: string): boolean {
    return this.#countLosses(fingerprint) > 0
  }

  /** @returns whether the request ran to completion recently and no upstream has died of it since */
  isProven (fingerprint: string): boolean {
    const expiresAt = this.#provenUntil.get(fingerprint)
    if (expiresAt === undefined) return false
    if (expiresAt > performance.now()) return true
    this.#provenUntil.delete(fingerprint)
    return false
  }

  /**
   * Records losses that this host observed or another host reported.
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

  /** Records that a request ran to completion, and clears it if it was a suspect. */
  recordSuccess (fingerprint: string): void {
    this.#lossRecords.delete(fingerprint)
    this.#provenUntil.set(fingerprint, performance.now() + RETENTION_MILLISECONDS)
  }

  /**
   * Removes losses of a suspect that another host cleared. Losses that the other host did not know of stay.
   *
   * @param record - the request and the losses to remove
   */
  forgive ({ fingerprint, lostUpstreams }: PoisonRecord): void {
    const lossRecord = this.#lossRecords.get(fingerprint)
    for (const upstream of lostUpstreams) lossRecord?.lostUpstreams.delete(upstream)
    if (lossRecord?.lostUpstreams.size === 0) this.#lossRecords.delete(fingerprint)
  }

  /** @returns the known losses of a request, for other hosts */
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
