import { StatsD } from 'hot-shots'
import { splitAddress } from '../utils/splitAddress.js'
import type { MetricSink } from './Counters.js'

/** A metric sink that can be closed. */
export interface ClosableMetricSink extends MetricSink {
  close (): void
}

/**
 * Creates a metric sink that sends StatsD packets; errors while sending are ignored.
 *
 * @param collectorAddress - `ip:port` of the StatsD collector
 * @param tags - tags of every metric
 */
export function createMetricSink (collectorAddress: string, tags: Record<string, string>): ClosableMetricSink {
  const { host, port } = splitAddress(collectorAddress)
  const client = new StatsD({ host, port, prefix: 'hibiscusrelay.', globalTags: tags, errorHandler: () => {} })
  return {
    increment: (name, by) => { client.increment(name, by) },
    gauge: (name, value) => { client.gauge(name, value) },
    close: () => { client.close() }
  }
}
