import type { CrashTable } from '../crashes/CrashTable.js'
import type { KnownState } from '../follow/KnownState.js'
import type { Log } from '../observe/Log.js'
import { getIncarnation, UpstreamReadiness, type UpstreamRecord } from '../registry/UpstreamRecord.js'
import { Step } from '../types/Step.js'
import { abbreviateFingerprint } from '../utils/abbreviateFingerprint.js'
import { FreshLooks } from '../utils/FreshLooks.js'
import { pause } from '../utils/pause.js'
import { ListenerState, probeListener } from '../utils/probeListener.js'
import { RecentMap } from '../utils/RecentMap.js'
import { ObservedEnds } from './ObservedEnds.js'
import type { UpstreamRun, UpstreamRuns } from './UpstreamRuns.js'

/** Timeout for a connection to an upstream: a round trip between regions takes 110 ms. */
const CONNECT_TIMEOUT_MILLISECONDS = 400
/** How long that connection must stay open: the sockets of an exiting process close one after another. */
const MINIMUM_CONNECTION_LIFETIME_MILLISECONDS = 50
/** Connections closed early after which an upstream counts as alive: one that ends refuses them soon, one at its limit goes on. */
const MAXIMUM_PROBES = 5
const PROBE_PAUSE_MILLISECONDS = 50
/** Age from which a copy in flight is a reason to look at its upstream before the next copy runs, unless that has answered since. */
const COPY_AGE_MILLISECONDS = 100
/** Interval at which the upstream of a suspect in flight is looked at. */
const SUSPECT_REVIEW_MILLISECONDS = 200
/** Time after an upstream was found alive in which only suspects are a reason to look again. */
const ALIVE_MILLISECONDS = 1_000
/** Time after a look without a result in which copies of a request do not wait for another one at the same upstream. */
const UNCLEAR_MILLISECONDS = 1_000
const MINIMUM_REMEMBERED_UPSTREAMS = 1_000

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  runs: UpstreamRuns
  crashes: CrashTable
  known: KnownState
  /** Opens a connection to an address for a short time. */
  probe?: (address: string) => Promise<ListenerState>
  /** Asks which upstream answers at the address of a record; resolves with undefined when none names itself. */
  identify: (record: UpstreamRecord) => Promise<string | undefined>
  /** Called after the crash table changed here. */
  onChange: () => void
  /** Waits for a limited time until a control host has stored what changed in the crash table after a revision. */
  saveLosses: (revision: number) => Promise<void>
  log: Log
}

/** Finds out which upstreams ended, and records for each the requests that it may have been running. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions
  readonly #checksByIncarnation = new Map<string, Promise<void>>()
  readonly #savesByIncarnation = new Map<string, Promise<void>>()
  readonly #looks = new FreshLooks()
  readonly #aliveAt = new RecentMap<number>(MINIMUM_REMEMBERED_UPSTREAMS)
  readonly #unclearAt = new RecentMap<number>(MINIMUM_REMEMBERED_UPSTREAMS)
  readonly #observedEnds: ObservedEnds
  #reviewTimer: NodeJS.Timeout | undefined

  /** @param options - runs of this host, the crash table and the known upstreams */
  constructor (options: CrashDetectorOptions) {
    this.#options = options
    this.#observedEnds = new ObservedEnds(options)
  }

  /**
   * Finds out whether an upstream has ended, and records the loss for its runs without a whole answer. An upstream that cannot
   * be reached has not necessarily ended: only a refused connection or the announcement of a later start shows that.
   * Concurrent calls for the same upstream share one check. Returns when a recorded loss is stored, or the wait for that is over.
   */
  async checkUpstream (record: UpstreamRecord): Promise<void> {
    const incarnation = getIncarnation(record)
    const check = this.#checksByIncarnation.get(incarnation) ?? this.#checkOnce(record, incarnation).finally(() => { this.#checksByIncarnation.delete(incarnation) })
    this.#checksByIncarnation.set(incarnation, check)
    await check
    // Not a part of the check, as runs that break meanwhile need one of their own.
    await this.#savesByIncarnation.get(incarnation)
  }

  /**
   * Finds out whether an upstream has not ended. Unlike {@link CrashDetector.checkUpstream} it counts neither a check that began
   * before, nor an announcement that the upstream leaves, nor a connection alone, which another start may have accepted.
   *
   * @param record - the upstream
   * @param begunAt - when the run began whose answer is to be confirmed; an end that was found before says nothing about it
   * @returns whether an answer to a request that was sent after this call named the upstream
   */
  async isAlive (record: UpstreamRecord, begunAt: number): Promise<boolean> {
    const { identify } = this.#options
    if (this.#observedEnds.hasEndedSince(record, begunAt)) return false
    const hasAnswered = await this.#looks.look(getIncarnation(record), async () => await identify(record) === record.id)
    return hasAnswered && !this.#observedEnds.hasEndedSince(record, begunAt)
  }

  /** Checks the upstreams of copies in flight, so that a request does not end a second upstream while the first one is silent. */
  async checkCopies (fingerprint: string): Promise<void> {
    const { runs } = this.#options
    if (runs.isProven(fingerprint)) return
    const now = performance.now()
    const unclearCopies = runs.listCopies(fingerprint).filter(({ record, startedAt }) => now - startedAt > COPY_AGE_MILLISECONDS && this.#getAliveAt(record) < startedAt + COPY_AGE_MILLISECONDS && !this.#wasUnclear(record))
    await Promise.all(unclearCopies.map(({ record }) => this.checkUpstream(record)))
  }

  /** Records a whole answer of an upstream, which shows that it has not ended. */
  recordAlive (record: UpstreamRecord): void {
    this.#aliveAt.set(getIncarnation(record), performance.now())
  }

  /** Records a whole answer of an upstream to a request, which shows that an earlier end of it was assumed wrongly. */
  recordAnswer ({ record, startedAt }: UpstreamRun): void {
    this.#observedEnds.recordAnswer(record, startedAt)
  }

  /** Looks whether upstreams whose ends count against a refused request have ended. */
  reviewEnds (fingerprint: string): void {
    this.#observedEnds.review(fingerprint).catch((error: unknown) => { this.#options.log.warn('crash-check-failed', { step: Step.Dispatch, content: abbreviateFingerprint(fingerprint), cause: String(error) }) })
  }

  /** Records that no connection to an upstream could be made. Hosts with requests in flight there look for themselves. */
  recordUnreachable (record: UpstreamRecord): void {
    const { crashes, onChange } = this.#options
    const { revision } = crashes
    crashes.recordUnreachable(getIncarnation(record))
    if (crashes.revision === revision) return
    onChange()
    this.review()
  }

  /** Checks upstreams with runs of this host after news from other hosts, and again while a suspect is in flight. */
  review (): void {
    const { runs, log } = this.#options
    const records = new Map(runs.list().filter((run) => this.#isCheckDue(run)).map(({ record }) => [getIncarnation(record), record]))
    for (const record of records.values()) {
      this.checkUpstream(record).catch((error: unknown) => { log.warn('crash-check-failed', { step: Step.Dispatch, peer: record.address, cause: String(error) }) })
    }
    if (!runs.list().some((run) => run.isInFlight && this.#isSuspect(run))) return
    this.#reviewTimer ??= setTimeout(() => {
      this.#reviewTimer = undefined
      this.review()
    }, SUSPECT_REVIEW_MILLISECONDS).unref()
  }

  #isCheckDue (run: UpstreamRun): boolean {
    const { crashes, known } = this.#options
    const { record } = run
    if (known.upstreams.isReplaced(record)) return true
    if (this.#isSuspect(run)) return !this.#wasAlive(record, SUSPECT_REVIEW_MILLISECONDS / 2)
    if (!crashes.isUnreachable(getIncarnation(record)) && !known.isLost(record.id)) return false
    return !this.#wasAlive(record, ALIVE_MILLISECONDS)
  }

  #isSuspect ({ fingerprint }: UpstreamRun): boolean {
    return this.#options.crashes.countLosses(fingerprint) > 0
  }

  #wasAlive (record: UpstreamRecord, milliseconds: number): boolean {
    return performance.now() - this.#getAliveAt(record) < milliseconds
  }

  #wasUnclear (record: UpstreamRecord): boolean {
    return performance.now() - (this.#unclearAt.get(getIncarnation(record)) ?? Number.NEGATIVE_INFINITY) < UNCLEAR_MILLISECONDS
  }

  #getAliveAt (record: UpstreamRecord): number {
    return this.#aliveAt.get(getIncarnation(record)) ?? Number.NEGATIVE_INFINITY
  }

  async #checkOnce (record: UpstreamRecord, incarnation: string): Promise<void> {
    const { known } = this.#options
    const noticedAt = performance.now()
    const state = known.upstreams.isReplaced(record) ? ListenerState.Refused : await this.#probe(record.address)
    // Another start of the upstream may have been announced meanwhile, at the same address.
    if (state === ListenerState.Refused || known.upstreams.isReplaced(record)) this.#recordEnd(record, incarnation, noticedAt)
    else if (state === ListenerState.Open || state === ListenerState.ClosedEarly) this.recordAlive(record)
    else this.#recordUnclear(record, incarnation)
  }

  /** Records that it is not known whether an upstream has ended. Its runs are remembered for longer, as a later start may show that it had. */
  #recordUnclear (record: UpstreamRecord, incarnation: string): void {
    this.#unclearAt.set(incarnation, performance.now())
    this.#options.runs.retain(incarnation)
    this.#options.log.info('upstream-unclear', { step: Step.Dispatch, peer: record.address, upstream: incarnation })
  }

  /** @returns what a connection showed; {@link ListenerState.ClosedEarly} when several ones were closed soon */
  async #probe (address: string): Promise<ListenerState> {
    const { probe = probeUpstream } = this.#options
    for (let attempt = 0; attempt < MAXIMUM_PROBES; attempt += 1) {
      const state = await probe(address)
      if (state !== ListenerState.ClosedEarly) return state
      await pause(PROBE_PAUSE_MILLISECONDS)
    }
    return ListenerState.ClosedEarly
  }

  #recordEnd (record: UpstreamRecord, incarnation: string, noticedAt: number): void {
    const { runs, crashes, known, onChange, saveLosses, log } = this.#options
    if ((known.isLeaving(record) || isLeaving(known.upstreams.get(record.id)?.record, record.bornAt)) && !known.upstreams.isReplaced(record)) return
    const fingerprints = runs.listFingerprints(incarnation)
    const { revision } = crashes
    this.#observedEnds.record(record, fingerprints, noticedAt)
    crashes.recordLoss(incarnation, fingerprints)
    if (crashes.revision === revision) return
    log.warn('upstream-died', { step: Step.Dispatch, peer: record.address, upstream: incarnation, contents: [...fingerprints].map(abbreviateFingerprint).join(',') })
    onChange()
    const save = saveLosses(revision).finally(() => { if (this.#savesByIncarnation.get(incarnation) === save) this.#savesByIncarnation.delete(incarnation) })
    this.#savesByIncarnation.set(incarnation, save)
    this.review()
  }
}

/** @returns whether an upstream announced that it leaves: its end is planned then */
function isLeaving (latest: UpstreamRecord | undefined, bornAt: number): boolean {
  return latest !== undefined && latest.bornAt === bornAt && latest.readiness !== UpstreamReadiness.Ready
}

async function probeUpstream (address: string): Promise<ListenerState> {
  return await probeListener(address, CONNECT_TIMEOUT_MILLISECONDS, MINIMUM_CONNECTION_LIFETIME_MILLISECONDS)
}
