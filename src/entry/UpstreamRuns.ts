import { getIncarnation, type UpstreamRecord } from '../registry/UpstreamRecord.js'
import { RecentMap } from '../utils/RecentMap.js'

/** Time during which a run without a whole answer counts as a possible cause when its upstream turns out to have ended. */
const RETENTION_MILLISECONDS = 5_000
/** The same for a run whose upstream could not be reached: its end becomes known only after a partition, which lasts some seconds. */
const UNREACHABLE_RETENTION_MILLISECONDS = 30_000
/** Time during which a request that ran completely counts as harmless. */
const PROVEN_MILLISECONDS = 600_000
const MINIMUM_PROVEN_FINGERPRINTS = 10_000

/** One run of a request at an upstream. */
export interface UpstreamRun {
  readonly fingerprint: string
  readonly record: UpstreamRecord
  readonly startedAt: number
  /** Whether its first byte was written, so that the upstream may have begun to run it. */
  isWritten: boolean
  /** Whether this host still waits for the answer. */
  isInFlight: boolean
  /** Time on the clock of `performance.now()` until which it is remembered after this host stopped waiting. */
  retainedUntil: number
}

/** Runs of this host's requests at upstreams that are in flight, or ended lately without a whole answer. */
export class UpstreamRuns {
  readonly #runs = new Set<UpstreamRun>()
  readonly #runsByFingerprint = new Map<string, Set<UpstreamRun>>()
  readonly #provenUntil = new RecentMap<number>(MINIMUM_PROVEN_FINGERPRINTS)

  /**
   * Records that a request is sent to an upstream.
   *
   * @param fingerprint - digest of the request
   * @param record - the upstream
   * @param isWritten - whether its first byte was written already; otherwise the caller sets it on the run
   */
  begin (fingerprint: string, record: UpstreamRecord, isWritten = true): UpstreamRun {
    const run: UpstreamRun = { fingerprint, record, startedAt: performance.now(), isWritten, isInFlight: true, retainedUntil: 0 }
    this.#runs.add(run)
    const copies = this.#runsByFingerprint.get(fingerprint)
    if (copies === undefined) this.#runsByFingerprint.set(fingerprint, new Set([run]))
    else copies.add(run)
    return run
  }

  /** Removes a run that certainly did not take place. */
  discard (run: UpstreamRun): void {
    this.#runs.delete(run)
    const copies = this.#runsByFingerprint.get(run.fingerprint)
    copies?.delete(run)
    if (copies?.size === 0) this.#runsByFingerprint.delete(run.fingerprint)
  }

  /** Records that the whole answer of a run arrived. */
  complete (run: UpstreamRun): void {
    this.discard(run)
    this.#provenUntil.set(run.fingerprint, performance.now() + PROVEN_MILLISECONDS)
  }

  /** Records that this host no longer waits for a run, though it may go on. */
  abandon (run: UpstreamRun): void {
    run.isInFlight = false
    run.retainedUntil = Math.max(run.retainedUntil, performance.now() + RETENTION_MILLISECONDS)
    this.#discardWhenDue(run)
  }

  /** Remembers the runs of an upstream that could not be reached for longer. */
  retain (incarnation: string): void {
    const retainedUntil = performance.now() + UNREACHABLE_RETENTION_MILLISECONDS
    for (const run of this.#runs) if (getIncarnation(run.record) === incarnation) run.retainedUntil = retainedUntil
  }

  #discardWhenDue (run: UpstreamRun): void {
    const remainingMilliseconds = run.retainedUntil - performance.now()
    if (remainingMilliseconds <= 0) return this.discard(run)
    setTimeout(() => { this.#discardWhenDue(run) }, remainingMilliseconds).unref()
  }

  /** @returns whether the request ran completely lately */
  isProven (fingerprint: string): boolean {
    return (this.#provenUntil.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > performance.now()
  }

  /** @returns all runs without a whole answer */
  list (): UpstreamRun[] {
    return [...this.#runs]
  }

  /** @returns the runs of one request without a whole answer */
  listCopies (fingerprint: string): UpstreamRun[] {
    return [...this.#runsByFingerprint.get(fingerprint) ?? []]
  }

  /** @returns fingerprints of the requests that an upstream process may be running */
  listFingerprints (incarnation: string): Set<string> {
    return new Set(this.list().filter(({ record, isWritten }) => isWritten && getIncarnation(record) === incarnation).map(({ fingerprint }) => fingerprint))
  }
}
