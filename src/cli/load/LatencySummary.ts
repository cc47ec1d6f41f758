/** Percentiles of latencies, in milliseconds. */
export interface LatencySummary {
  p50: number
  p99: number
  p999: number
  max: number
}
