import type { LoadReport } from './LoadReport.js'

/** A report older than this says nothing of the present: warm work takes some 200 to 300 ms. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500
/** Time in which a queue that was told of has run: hosts that saw it send elsewhere meanwhile. */
const QUEUE_DECAY_MILLISECONDS = 500
/** An upstream that answered this host within so long is alive, whatever control hosts hear of it. */
const ALIVE_AFTER_ANSWER_MILLISECONDS = 3_000
const INITIAL_AVOIDANCE_MILLISECONDS = 250
const MAXIMUM_AVOIDANCE_MILLISECONDS = 4_000

/** What one host knows of the load and the failures of one upstream. */
export class UpstreamLoad {
  /** Requests of this host that the upstream has. */
  inFlight = 0
  #lastReport: LoadReport | undefined
  #lastReportedAt = Number.NEGATIVE_INFINITY
  #sentSinceReport = 0
  #avoidedUntil = Number.NEGATIVE_INFINITY
  #consecutiveFailures = 0
  #lastAnsweredAt = Number.NEGATIVE_INFINITY

  /** Notes that a request is sent. */
  start (): void {
    this.inFlight += 1
    this.#sentSinceReport += 1
  }

  /** Notes that a request has ended, however it did. */
  end (): void {
    this.inFlight -= 1
  }

  /** Takes in what the upstream said of its load. */
  recordReport (report: LoadReport, now: number): void {
    this.#lastReport = report
    this.#lastReportedAt = now
    this.#sentSinceReport = 0
  }

  /** Notes a failure: the upstream is avoided, longer after each one in a row. */
  recordFailure (now: number): void {
    const avoidanceMilliseconds = Math.min(MAXIMUM_AVOIDANCE_MILLISECONDS, INITIAL_AVOIDANCE_MILLISECONDS * 2 ** this.#consecutiveFailures)
    this.#consecutiveFailures += 1
    this.#avoidedUntil = now + avoidanceMilliseconds
  }

  /** Notes an answer to a request that the upstream ran. */
  recordSuccess (now: number): void {
    this.#consecutiveFailures = 0
    this.#lastAnsweredAt = now
  }

  /**
   * Notes that the upstream refused a request without running it.
   *
   * @returns whether it had room, so that the refusal says nothing of its load
   */
  recordRefusal (now: number): boolean {
    this.#consecutiveFailures = 0
    this.#lastAnsweredAt = now
    return this.#lastReport !== undefined && this.#lastReportedAt === now && this.#lastReport.running < this.#lastReport.slots
  }

  /** Whether the last request to it failed. */
  get hasFailed (): boolean {
    return this.#consecutiveFailures > 0
  }

  /** Whether it answered this host lately. */
  isAlive (now: number): boolean {
    return now - this.#lastAnsweredAt < ALIVE_AFTER_ANSWER_MILLISECONDS
  }

  /** Whether it failed so lately that another one is the better choice. */
  isAvoided (now: number): boolean {
    return now < this.#avoidedUntil
  }

  /**
   * Estimates how full the upstream is.
   *
   * @param slots - requests that it can run at once
   * @param now - on the clock of `performance.now()`
   * @returns requests that it runs or that wait there, per slot
   */
  utilization (slots: number, now: number): number {
    const reportAge = now - this.#lastReportedAt
    if (this.#lastReport === undefined || reportAge > MAXIMUM_REPORT_AGE_MILLISECONDS) return this.inFlight / slots
    const { running, waiting } = this.#lastReport
    const estimatedWaiting = waiting * Math.max(0, 1 - reportAge / QUEUE_DECAY_MILLISECONDS)
    return Math.max(this.inFlight, running + estimatedWaiting + this.#sentSinceReport) / slots
  }
}
