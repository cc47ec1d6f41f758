import type { PoisonRecord } from '../relay/PoisonGuard.js'

/** Maximum number of requests in the table; a request that kills upstreams is rare. */
const MAXIMUM_REQUESTS = 1_000

interface LossEntry {
  lostUpstreams: Set<string>
  revision: number
}

/** Requests that killed upstreams, merged from the reports of all entry hosts. */
export class LossTable {
  readonly #entriesByFingerprint = new Map<string, LossEntry>()
  #revision = 0

  /** Rises with each change. */
  get revision (): number {
    return this.#revision
  }

  /**
   * Merges the losses that a host reports.
   *
   * @param records - requests and the upstreams that each killed
   * @returns whether any loss was new
   */
  merge (records: readonly PoisonRecord[]): boolean {
    const previousRevision = this.#revision
    for (const record of records) this.#mergeRecord(record)
    return this.#revision > previousRevision
  }

  /** @returns requests whose losses changed after a revision */
  changedSince (revision: number): PoisonRecord[] {
    return [...this.#entriesByFingerprint]
      .filter(([, entry]) => entry.revision > revision)
      .map(([fingerprint, { lostUpstreams }]) => ({ fingerprint, lostUpstreams: [...lostUpstreams] }))
  }

  #mergeRecord ({ fingerprint, lostUpstreams }: PoisonRecord): void {
    const entry = this.#entriesByFingerprint.get(fingerprint) ?? { lostUpstreams: new Set<string>(), revision: 0 }
    const hasNewLoss = lostUpstreams.some((upstream) => !entry.lostUpstreams.has(upstream))
    if (!hasNewLoss) return
    for (const upstream of lostUpstreams) entry.lostUpstreams.add(upstream)
    entry.revision = ++this.#revision
    this.#entriesByFingerprint.set(fingerprint, entry)
    if (this.#entriesByFingerprint.size <= MAXIMUM_REQUESTS) return
    const [oldest] = this.#entriesByFingerprint.keys()
    this.#entriesByFingerprint.delete(oldest!)
  }
}
