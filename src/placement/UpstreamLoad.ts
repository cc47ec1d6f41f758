import type { LoadReport } from './LoadReport.js'

/** A report older than this says nothing of the present: warm work takes some 200 to 300 ms. */
const REPORT_MILLISECONDS = 1_500
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

  noteSuccess (): void {
    this.#failures = 0
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
    if (this.#report === undefined || now - this.#reportedAt > REPORT_MILLISECONDS) return this.inFlight / slots
    const { running, waiting } = this.#report
    return Math.max(this.inFlight, running + waiting + this.#startedSinceReport) / slots
  }
}
