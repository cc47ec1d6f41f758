import type { AnswerReport, PoolReport } from './PoolReport.js'
import { ExponentialMean } from './ExponentialMean.js'
import { SendTimes } from './SendTimes.js'

const FREE_SLOTS_WEIGHT = 0.05
const ROUND_TRIP_WEIGHT = 0.1

/** What one host knows of the pool of one owner. */
export class PoolState {
  readonly #meanFreeSlots: ExponentialMean
  readonly #meanRoundTrip: ExponentialMean
  #freeSlots: number
  #slots = 1
  #reportedAt = -Infinity
  /** Requests that the latest report cannot have counted. */
  readonly #unreportedSends = new SendTimes()
  /** Requests of this host that are not over. */
  readonly #outstandingSends = new SendTimes()

  /**
   * @param freeSlots - free slots to assume before the first report
   * @param roundTripMilliseconds - round trip to assume before the first answer
   */
  constructor (freeSlots: number, roundTripMilliseconds: number) {
    this.#freeSlots = freeSlots
    this.#meanFreeSlots = new ExponentialMean(freeSlots, FREE_SLOTS_WEIGHT)
    this.#meanRoundTrip = new ExponentialMean(roundTripMilliseconds, ROUND_TRIP_WEIGHT)
  }

  get slots (): number {
    return this.#slots
  }

  get roundTripMilliseconds (): number {
    return this.#meanRoundTrip.mean
  }

  /**
   * Takes in a report. Its free slots count unless later ones are known; its slots count always.
   *
   * @param report - the report
   * @param ageMilliseconds - how long ago the owner wrote it
   */
  recordReport (report: PoolReport, ageMilliseconds: number): void {
    this.#slots = Math.max(1, report.slots)
    const reportedAt = performance.now() - ageMilliseconds
    if (reportedAt < this.#reportedAt) return
    this.#reportedAt = reportedAt
    this.#freeSlots = report.freeSlots
    this.#meanFreeSlots.add(report.freeSlots)
    this.#unreportedSends.removeThrough(reportedAt - this.#meanRoundTrip.mean / 2)
  }

  /** Notes that a request was sent now. */
  recordSent (): void {
    this.#unreportedSends.add()
    this.#outstandingSends.add()
  }

  /**
   * Notes that a request is over, with a report on its answer or refusal.
   *
   * @param sentAt - when it was sent
   * @param report - the report
   */
  recordAnswer (sentAt: number, report: AnswerReport): void {
    this.#outstandingSends.remove(sentAt)
    const roundTrip = Math.max(0, performance.now() - sentAt - report.heldMilliseconds)
    this.#meanRoundTrip.add(roundTrip)
    this.recordReport(report, roundTrip / 2)
  }

  /**
   * Notes that a request is over, and nothing was told of the pool.
   *
   * @param sentAt - when it was sent
   */
  recordEnd (sentAt: number): void {
    this.#outstandingSends.remove(sentAt)
    if (!this.#unreportedSends.remove(sentAt)) this.#freeSlots = Math.min(this.#slots, this.#freeSlots + 1)
  }

  /**
   * Estimates the free slots. Whatever the owner reports, a request of this host that is out for longer than
   * a round trip holds a slot or waits for one.
   *
   * @param agingMilliseconds - age at which a report counts for a third of a fresh one; the rest is the mean of the reports
   * @returns estimate of the free slots now
   */
  estimateFreeSlots (agingMilliseconds: number): number {
    const now = performance.now()
    const reportWeight = Math.exp((this.#reportedAt - now) / agingMilliseconds)
    const mean = this.#meanFreeSlots.mean
    const fromReports = mean + (this.#freeSlots - mean) * reportWeight - this.#unreportedSends.size
    return Math.min(fromReports, this.#slots - this.#outstandingSends.countBefore(now - this.#meanRoundTrip.mean))
  }
}
