import { build, type Histogram } from 'hdr-histogram-js'
import type { LatencySummary } from './LatencySummary.js'

const MAXIMUM_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 3
const MICROSECONDS_PER_MILLISECOND = 1000

/** Histogram of latencies up to 10 minutes, exact to three significant digits. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32
  })

  /** @param milliseconds - latency to record */
  record (milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)
    this.#histogram.recordValue(Math.min(Math.max(microseconds, 0), MAXIMUM_MICROSECONDS))
  }

  /** @returns the percentiles so far, all 0 when nothing was recorded */
  summarize (): LatencySummary {
    return { p50: this.#readPercentile(50), p99: this.#readPercentile(99), p999: this.#readPercentile(99.9), max: this.#histogram.totalCount === 0 ? 0 : this.#histogram.maxValue / MICROSECONDS_PER_MILLISECOND }
  }

  #readPercentile (percentile: number): number {
    if (this.#histogram.totalCount === 0) return 0
    return this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  }
}
