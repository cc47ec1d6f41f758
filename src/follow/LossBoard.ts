import type { PoisonRecord } from '../relay/PoisonGuard.js'

/** Requests remembered; one that kills upstreams is rare. */
const MOST_REQUESTS = 1_000

interface BoardEntry {
  lostUpstreams: Set<string>
  revision: number
}

/** Requests that killed upstreams, as all entry hosts together saw it. */
export class LossBoard {
  readonly #entries = new Map<string, BoardEntry>()
  #revision = 0

  /** Rises with each change. */
  get revision (): number {
    return this.#revision
  }

  /**
   * Takes in what a host saw.
   *
   * @returns whether it was new
   */
  add (records: readonly PoisonRecord[]): boolean {
    const before = this.#revision
    for (const record of records) this.#addOne(record)
    return this.#revision > before
  }

  /** @returns requests whose losses changed after a revision */
  changedSince (revision: number): PoisonRecord[] {
    return [...this.#entries]
      .filter(([, entry]) => entry.revision > revision)
      .map(([fingerprint, { lostUpstreams }]) => ({ fingerprint, lostUpstreams: [...lostUpstreams] }))
  }

  #addOne ({ fingerprint, lostUpstreams }: PoisonRecord): void {
    const entry = this.#entries.get(fingerprint) ?? { lostUpstreams: new Set<string>(), revision: 0 }
    const isNew = lostUpstreams.some((upstream) => !entry.lostUpstreams.has(upstream))
    if (!isNew) return
    for (const upstream of lostUpstreams) entry.lostUpstreams.add(upstream)
    entry.revision = ++this.#revision
    this.#entries.set(fingerprint, entry)
    if (this.#entries.size <= MOST_REQUESTS) return
    const [oldest] = this.#entries.keys()
    this.#entries.delete(oldest!)
  }
}
