import { ExchangeFailure } from '../errors/ExchangeError.js'
import type { LoadReport } from './LoadReport.js'
import { UpstreamFailures } from './UpstreamFailures.js'
import type { UpstreamPause } from './UpstreamPause.js'

/** Older reports are ignored: a warm run takes about 200 to 300 ms, so the load has changed since. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500
/** Older reports of the present time of work are ignored: upstreams that share their machines change it every 600 ms. */
const MAXIMUM_WORK_PERCENT_AGE_MILLISECONDS = 600
/** Time in which a reported queue is assumed to empty: hosts that saw the report send elsewhere meanwhile. */
const QUEUE_DECAY_MILLISECONDS = 500
/** An upstream that answered this host within this time counts as alive, whatever the control hosts report. */
const ALIVE_AFTER_ANSWER_MILLISECONDS = 3_000

/** Load and failures of one upstream, as far as one host knows them. */
export class UpstreamLoad {
  /** Requests of this host that are in flight at the upstream. */
  inFlight = 0
  #lastReport: LoadReport | undefined
  #lastReportedAt = Number.NEGATIVE_INFINITY
  #sentSinceReport = 0
  readonly #failures = new UpstreamFailures()
  #lastAnsweredAt = Number.NEGATIVE_INFINITY
  #pause: UpstreamPause | undefined

  /** Records that a request is sent. */
  start (): void {
    this.inFlight += 1
    this.#sentSinceReport += 1
  }

  /** Records that a request has ended, with or without an answer. */
  end (): void {
    this.inFlight -= 1
  }

  /** Records the load that the upstream reported. */
  recordReport (report: LoadReport, now: number): void {
    this.#lastReport = report
    this.#lastReportedAt = now
    this.#sentSinceReport = 0
  }

  /** Records a failure: the upstream is avoided for a time that doubles with each failure in a row, up to a maximum. */
  recordFailure (now: number): void {
    this.#failures.recordFailure(now)
  }

  /**
   * Records that an exchange with it gave no answer.
   *
   * @param failure - why there is none; one that this host forbade is no failure of the upstream
   * @param now - current time on the clock of `performance.now()`
   */
  recordNoAnswer (failure: ExchangeFailure, now: number): void {
    if (failure === ExchangeFailure.Undelimited) this.#failures.recordUnfinished(now)
    else if (failure !== ExchangeFailure.Forbidden) this.#failures.recordFailure(now)
  }

  /** Records that an answer of it begins to arrive: it is alive, whatever becomes of the answer. */
  recordAlive (now: number): void {
    this.#lastAnsweredAt = now
  }

  /**
   * Records how the answer to a request ended that was sent.
   *
   * @param failure - undefined when it is whole
   * @param now - current time on the clock of `performance.now()`
   */
  recordEnd (failure: ExchangeFailure | undefined, now: number): void {
    if (failure === undefined) this.recordSuccess(now)
    else this.#failures.recordEnd(failure, now)
  }

  /** Records a whole answer to a request that the upstream ran. */
  recordSuccess (now: number): void {
    this.#failures.recordSuccess()
    this.#lastAnsweredAt = now
    this.#pause?.recordSuccess(now)
  }

  /**
   * Begins a pause that the upstream asked for; of several the longest holds.
   *
   * @returns whether it lasts longer than the present one
   */
  pause (pause: UpstreamPause): boolean {
    if (this.#pause !== undefined && this.#pause.bornAt >= pause.bornAt && this.#pause.returnsAt >= pause.returnsAt) return false
    this.#pause = pause
    return true
  }

  /** @returns whether the start of the upstream with this time of birth takes a further request of this host, as far as it asked for a pause */
  admits (bornAt: number, now: number): boolean {
    return this.#pause === undefined || this.#pause.bornAt !== bornAt || this.#pause.admits(this.inFlight, now)
  }

  /** @returns whether it has no pause, or one whose return is over as well */
  isPauseOver (now: number): boolean {
    return this.#pause === undefined || this.#pause.isOver(now)
  }

  /** @returns monotonic time at which its pause ends for this host, undefined when it has not asked for one or it has ended */
  getReturnTime (bornAt: number, now: number): number | undefined {
    return this.#pause === undefined || this.#pause.bornAt !== bornAt || now >= this.#pause.returnsAt ? undefined : this.#pause.returnsAt
  }

  /**
   * Records that the upstream refused a request without running it.
   *
   * @returns whether its load report came with the refusal and shows free slots, so that load was not the reason
   */
  recordRefusal (now: number): boolean {
    this.#failures.recordRefusal()
    this.#lastAnsweredAt = now
    return this.#lastReport !== undefined && this.#lastReportedAt === now && this.#lastReport.running < this.#lastReport.slots
  }

  /** Whether the last request to it failed. */
  get hasFailed (): boolean {
    return this.#failures.hasFailed
  }

  /** Whether it answered this host recently. */
  isAlive (now: number): boolean {
    return now - this.#lastAnsweredAt < ALIVE_AFTER_ANSWER_MILLISECONDS
  }

  /** Whether it failed so recently that other upstreams are preferred. */
  isAvoided (now: number): boolean {
    return this.#failures.isAvoided(now)
  }

  /** Whether it takes a further request of this host while other upstreams are usable, as far as its failures go. */
  isTrusted (now: number): boolean {
    return this.#failures.admits(this.inFlight, now)
  }

  /** @returns how long work takes there at this moment, in percent of its usual time; undefined when it has not reported that lately */
  getWorkPercent (now: number): number | undefined {
    return now - this.#lastReportedAt > MAXIMUM_WORK_PERCENT_AGE_MILLISECONDS ? undefined : this.#lastReport?.workPercent
  }

  /**
   * Estimates the utilization of the upstream.
   *
   * @param slots - requests that it can run at the same time
   * @param now - current time on the clock of `performance.now()`
   * @returns running and waiting requests per slot
   */
  utilization (slots: number, now: number): number {
    const reportAge = now - this.#lastReportedAt
    if (this.#lastReport === undefined || reportAge > MAXIMUM_REPORT_AGE_MILLISECONDS) return this.inFlight / slots
    const { running, waiting } = this.#lastReport
    const estimatedWaiting = waiting * Math.max(0, 1 - reportAge / QUEUE_DECAY_MILLISECONDS)
    return Math.max(this.inFlight, running + estimatedWaiting + this.#sentSinceReport) / slots
  }
}
