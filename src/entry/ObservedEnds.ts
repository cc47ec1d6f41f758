import { randomUUID } from 'node:crypto'
import type { CrashTable } from '../crashes/CrashTable.js'
import type { KnownState } from '../follow/KnownState.js'
import { getIncarnation, type UpstreamRecord } from '../registry/UpstreamRecord.js'
import { RecentMap } from '../utils/RecentMap.js'

/**
 * Time within which ends count as simultaneous. It is shorter than the time between two runs of a suspect: a permit is given
 * 250 ms after the loss before it at the earliest.
 */
const SIMULTANEOUS_MILLISECONDS = 200
/** Number of upstreams from which on simultaneous ends have a common cause: as many as make a request count as crashing. */
const MINIMUM_UPSTREAMS = 3
/** Number of requests in flight at these upstreams from which on none of them stands out. */
const MINIMUM_REQUESTS = 3
/**
 * Time from the evidence that an upstream has not ended to its use. A later start under the same identifier answers requests
 * before its first announcement has reached all hosts.
 */
const WITHDRAWAL_DELAY_MILLISECONDS = 2_000
/** Interval at which the upstreams whose ends count against a refused request are asked again; one question takes up to 3 s. */
const REVIEW_MILLISECONDS = 5_000
const MINIMUM_REMEMBERED_UPSTREAMS = 1_000
const MINIMUM_REMEMBERED_REQUESTS = 1_000

interface Moment {
  id: string
  begunAt: number
  upstreams: Set<string>
  fingerprints: Set<string>
}

/** Dependencies of {@link ObservedEnds}. */
export interface ObservedEndsOptions {
  crashes: CrashTable
  known: KnownState
  /** Asks which upstream answers at the address of a record; resolves with undefined when none names itself. */
  identify: (record: UpstreamRecord) => Promise<string | undefined>
  /** Called after the crash table changed here. */
  onChange: () => void
}

/** Ends of upstreams that this host found: which of them have a common cause, and which were assumed wrongly. */
export class ObservedEnds {
  readonly #options: ObservedEndsOptions
  readonly #endedAt = new RecentMap<number>(MINIMUM_REMEMBERED_UPSTREAMS)
  readonly #reviewedAt = new RecentMap<number>(MINIMUM_REMEMBERED_REQUESTS)
  #moment: Moment | undefined

  /** @param options - the crash table and the known upstreams */
  constructor (options: ObservedEndsOptions) {
    this.#options = options
  }

  /**
   * Records that an upstream ended.
   *
   * @param record - the upstream
   * @param fingerprints - requests that it may have been running
   * @param noticedAt - when this host began to look at it
   */
  record (record: UpstreamRecord, fingerprints: ReadonlySet<string>, noticedAt: number): void {
    const { crashes } = this.#options
    const incarnation = getIncarnation(record)
    const isKnown = this.#endedAt.get(incarnation) !== undefined
    this.#endedAt.set(incarnation, performance.now())
    if (isKnown || fingerprints.size === 0) return
    if (this.#moment === undefined || noticedAt - this.#moment.begunAt > SIMULTANEOUS_MILLISECONDS) this.#moment = { id: randomUUID(), begunAt: noticedAt, upstreams: new Set(), fingerprints: new Set() }
    this.#moment.upstreams.add(incarnation)
    for (const fingerprint of fingerprints) this.#moment.fingerprints.add(fingerprint)
    const { id, upstreams } = this.#moment
    if (upstreams.size >= MINIMUM_UPSTREAMS && this.#moment.fingerprints.size >= MINIMUM_REQUESTS) crashes.recordSimultaneous(id, upstreams)
  }

  /** @returns whether an upstream was found ended after a time, or a later start is announced */
  hasEndedSince (record: UpstreamRecord, time: number): boolean {
    return (this.#endedAt.get(getIncarnation(record)) ?? Number.NEGATIVE_INFINITY) > time || this.#options.known.upstreams.isReplaced(record)
  }

  /**
   * Records that an upstream answered a request completely. If the run began after the upstream was found ended, it had not
   * ended, as when a partition refused connections, and the losses by that end are withdrawn.
   *
   * @param record - the upstream
   * @param begunAt - when the run began
   */
  recordAnswer (record: UpstreamRecord, begunAt: number): void {
    const incarnation = getIncarnation(record)
    const endedAt = this.#endedAt.get(incarnation)
    if (endedAt === undefined || endedAt > begunAt) return
    this.#withdrawLater(record, incarnation)
  }

  /**
   * Asks the upstreams whose ends count against a request whether they have ended, every five seconds at most. Nothing else may
   * tell when only the refused request would reach them.
   *
   * @param fingerprint - digest of a request that is refused for its losses
   */
  async review (fingerprint: string): Promise<void> {
    const { crashes, known, identify } = this.#options
    const now = performance.now()
    if (now - (this.#reviewedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < REVIEW_MILLISECONDS) return
    this.#reviewedAt.set(fingerprint, now)
    const suspected = known.upstreams.list().filter(({ record }) => crashes.hasOpenLoss(fingerprint, getIncarnation(record)) && !known.upstreams.isReplaced(record))
    await Promise.all(suspected.map(async ({ record }) => {
      if (await identify(record) === record.id) this.#withdrawLater(record, getIncarnation(record))
    }))
  }

  #withdrawLater (record: UpstreamRecord, incarnation: string): void {
    this.#endedAt.delete(incarnation)
    setTimeout(() => { this.#withdraw(record, incarnation) }, WITHDRAWAL_DELAY_MILLISECONDS).unref()
  }

  #withdraw (record: UpstreamRecord, incarnation: string): void {
    const { crashes, known, onChange } = this.#options
    if (this.#endedAt.get(incarnation) !== undefined || known.upstreams.isReplaced(record)) return
    const { revision } = crashes
    crashes.withdrawEnd(incarnation)
    if (crashes.revision > revision) onChange()
  }
}
