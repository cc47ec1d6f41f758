import type { LoadReport } from './LoadReport.js'

/** A report older than this says nothing of the present: warm work takes some 200 to 300 ms. */
const REPORT_MILLISECONDS = 1_500
/** Time in which a queue that was told of has run: hosts that saw it send elsewhere meanwhile. */
const QUEUE_MILLISECONDS = 500
/** An upstream that answered this host within so long is alive, whatever control hosts hear of it. */
const ALIVE_MILLISECONDS = 3_000
const FIRST_AVOIDANCE_MILLISECONDS = 250
const LONGEST_AVOIDANCE_MILLISECONDS = 4_000

/** What one host knows of the load and the failures of one upstream. */
export class UpstreamLoad {
  /** Requests of this host that the upstream has. */
  inFlight = 0
  #report: LoadReport | undefined
  #reportedAt = Number.NEGATIVE_INFINITY
  #startedSinceReport = 0
  #avoidUntil = Number.NEGATIVE_INFINITY
  #failures = 0
  #answeredAt = Number.NEGATIVE_INFINITY

  /** Notes that a request is sent. */
  start (): void {
    this.inFlight += 1
    this.#startedSinceReport += 1
  }

  /** Notes that a request has ended, however it did. */
  end (): void {
    this.inFlight -= 1
  }

  /** Takes in what the upstream said of its load. */
  noteReport (report: LoadReport, now: number): void {
    this.#report = report
    this.#reportedAt = now
    this.#startedSinceReport = 0
  }

  /** Notes a failure: the upstream is avoided, longer after each one in a row. */
  noteFailure (now: number): void {
    const milliseconds = Math.min(LONGEST_AVOIDANCE_MILLISECONDS, FIRST_AVOIDANCE_MILLISECONDS * 2 ** this.#failures)
    this.#failures += 1
    this.#avoidUntil = now + milliseconds
  }

  /** Notes an answer to a request that the upstream ran. */
  noteSuccess (now: number): void {
    this.#failures = 0
    this.#answeredAt = now
  }

  /**
   * Notes that the upstream refused a request without running it.
   *
   * @returns whether it had room, so that the refusal says nothing of its load
   */
  noteRefusal (now: number): boolean {
    this.#failures = 0
    this.#answeredAt = now
    return this.#report !== undefined && this.#reportedAt === now && this.#report.running < this.#report.slots
  }

  /** Whether the last request to it failed. */
  get hasFailed (): boolean {
    return this.#failures > 0
  }

  /** Whether it answered this host lately. */
  isAlive (now: number): boolean {
    return now - this.#answeredAt < ALIVE_MILLISECONDS
  }

  /** Whether it failed so lately that another one is the better choice. */
  isAvoided (now: number): boolean {
    return now < this.#avoidUntil
  }

  /**
   * Estimates how full the upstream is.
   *
   * @param slots - requests that it can run at once
   * @param now - on the clock of `performance.now()`
   * @returns requests that it runs or that wait there, per slot
   */
  utilization (slots: number, now: number): number {
    const age = now - this.#reportedAt
    if (this.#report === undefined || age > REPORT_MILLISECONDS) return this.inFlight / slots
    const { running, waiting } = this.#report
    const stillWaiting = waiting * Math.max(0, 1 - age / QUEUE_MILLISECONDS)
    return Math.max(this.inFlight, running + stillWaiting + this.#startedSinceReport) / slots
  }
}
