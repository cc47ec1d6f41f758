import { isNewer, type UpstreamRecord } from './UpstreamRecord.js'

/** Maximum number of upstreams whose announcements are held; far more than a plan adds at once. */
const MAXIMUM_HELD = 1_000

/** An announcement whose service no known plan has, with its age. */
export interface HeldAnnouncement {
  record: UpstreamRecord
  ageMilliseconds: number
}

/**
 * Announcements of upstreams whose service no known plan has yet. They are kept apart from the table of upstreams, where a
 * record with a wrong service would take the place of a sound one.
 */
export class HeldAnnouncements {
  readonly #heldById = new Map<string, { record: UpstreamRecord, heldAt: number }>()
  readonly #maximumAgeMilliseconds: number

  /** @param maximumAgeMilliseconds - age from which on an announcement is discarded */
  constructor (maximumAgeMilliseconds: number) {
    this.#maximumAgeMilliseconds = maximumAgeMilliseconds
  }

  /** Holds the newest announcement of an upstream. The upstream that announced itself longest ago makes room. */
  hold (record: UpstreamRecord): void {
    const known = this.#heldById.get(record.id)
    if (known !== undefined && !isNewer(record, known.record)) return
    this.#heldById.delete(record.id)
    this.#heldById.set(record.id, { record, heldAt: performance.now() })
    if (this.#heldById.size <= MAXIMUM_HELD) return
    const [oldest] = this.#heldById.keys()
    this.#heldById.delete(oldest!)
  }

  /**
   * Removes the announcements whose service is known by now, and those that are too old.
   *
   * @param isKnownService - whether a plan has a service
   * @returns those whose service is known
   */
  take (isKnownService: (service: string) => boolean): HeldAnnouncement[] {
    const now = performance.now()
    const taken: HeldAnnouncement[] = []
    for (const [id, { record, heldAt }] of this.#heldById) {
      const ageMilliseconds = now - heldAt
      const isExpired = ageMilliseconds > this.#maximumAgeMilliseconds
      const isKnown = isKnownService(record.service)
      if (isExpired || isKnown) this.#heldById.delete(id)
      if (isKnown && !isExpired) taken.push({ record, ageMilliseconds })
    }
    return taken
  }
}
