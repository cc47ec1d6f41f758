import type { AnswerReport, PoolReport } from './PoolReport.js'
import { ExponentialMean } from './ExponentialMean.js'
import { SendTimes } from './SendTimes.js'

const FREE_SLOTS_WEIGHT = 0.05
const ROUND_TRIP_WEIGHT = 0.1

/** State of the pool of one owner, as estimated by another host. */
export class PoolState {
  readonly #meanFreeSlots: ExponentialMean
  readonly #meanRoundTrip: ExponentialMean
  #freeSlots: number
  #slots = 1
  #reportedAt = -Infinity
  /** Send times of the requests that the latest report cannot include. */
  readonly #unreportedSends = new SendTimes()
  /** Send times of the requests of this host that have not ended. */
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
   * Records a report. Its free slots are ignored if a later report is known; its slots always apply.
   *
   * @param report - the owner's report
   * @param ageMilliseconds - age of the report
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

  /** Records that a request is sent now. */
  recordSent (): void {
    this.#unreportedSends.add()
    this.#outstandingSends.add()
  }

  /**
   * Records that a request has ended, with a report on its answer or refusal.
   *
   * @param sentAt - time at which the request was sent
   * @param report - the owner's report
   */
  recordAnswer (sentAt: number, report: AnswerReport): void {
    this.#outstandingSends.remove(sentAt)
    const roundTrip = Math.max(0, performance.now() - sentAt - report.heldMilliseconds)
    this.#meanRoundTrip.add(roundTrip)
    this.recordReport(report, roundTrip / 2)
  }

  /**
   * Records that a request has ended without a report.
   *
   * @param sentAt - time at which the request was sent
   */
  recordEnd (sentAt: number): void {
    this.#outstandingSends.remove(sentAt)
    if (!this.#unreportedSends.remove(sentAt)) this.#freeSlots = Math.min(this.#slots, this.#freeSlots + 1)
  }

  /**
   * Estimates the free slots. Whatever the owner reports, a request of this host that has been outstanding for longer than
   * a round trip takes a slot or waits for one.
   *
   * @param agingMilliseconds - age at which a report counts for a third of a new one; the rest is the mean of the reports
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
