import type { Metric } from 'prom-client'
import type { Counters } from './Counters.js'
import { LATENCY_BOUNDS_SECONDS, type LatencyBuckets, type LatencyCounts } from './LatencyBuckets.js'

const LATENCY_METRIC_NAME = 'hibiscusrelay_request_seconds'

interface Sample {
  metricName?: string
  labels: Record<string, string>
  value: number
}

/**
 * Formats counters and latencies in the Prometheus text format. The library is loaded at the first call: loading takes
 * about 12 MB and 85 ms of processor time, which a small host should not spend before it serves requests.
 *
 * @param counters - counters and gauges of the process
 * @param latencies - latencies of requests by outcome
 * @returns the text and its content type
 */
export async function renderMetrics (counters: Counters, latencies: LatencyBuckets): Promise<{ text: string, contentType: string }> {
  const { Registry } = await import('prom-client')
  const registry = new Registry()
  const register = (name: string, help: string, type: string, values: Sample[]): void => {
    registry.registerMetric({ name, get: async () => ({ name, help, type, values, aggregator: 'sum' }) } as unknown as Metric)
  }
  const events = Object.entries(counters.snapshot()).map(([event, value]) => ({ labels: { event }, value }))
  register('hibiscusrelay_events', 'Counters and gauges of this process by name', 'gauge', events)
  register(LATENCY_METRIC_NAME, 'Seconds from the arrival of a request to its answer, by outcome', 'histogram', listLatencySamples(latencies))
  return { text: await registry.metrics(), contentType: registry.contentType }
}

function listLatencySamples (latencies: LatencyBuckets): Sample[] {
  return [...latencies.list()].flatMap(([outcome, counts]) => listOutcomeSamples(outcome, counts))
}

function listOutcomeSamples (outcome: string, { buckets, totalSeconds }: LatencyCounts): Sample[] {
  let cumulativeCount = 0
  const samples = buckets.map((requests, index): Sample => {
    cumulativeCount += requests
    return { metricName: `${LATENCY_METRIC_NAME}_bucket`, labels: { outcome, le: String(LATENCY_BOUNDS_SECONDS[index] ?? '+Inf') }, value: cumulativeCount }
  })
  return [
    ...samples,
    { metricName: `${LATENCY_METRIC_NAME}_sum`, labels: { outcome }, value: totalSeconds },
    { metricName: `${LATENCY_METRIC_NAME}_count`, labels: { outcome }, value: cumulativeCount }
  ]
}
