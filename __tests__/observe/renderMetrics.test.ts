import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { LatencyBuckets } from '../../src/observe/LatencyBuckets.js'
import { renderMetrics } from '../../src/observe/renderMetrics.js'

test('counters and latencies are written in the Prometheus text format', async () => {
  const counters = new Counters()
  counters.increment('refused.queue-full', 3)
  const latencies = new LatencyBuckets()
  for (const seconds of [0.004, 0.25, 0.25, 9]) latencies.record('ran', seconds)
  const { text, contentType } = await renderMetrics(counters, latencies)
  assert.match(contentType, /^text\/plain/)
  assert.match(text, /^hibiscusrelay_events\{event="refused.queue-full"\} 3$/m)
  assert.match(text, /^# TYPE hibiscusrelay_request_seconds histogram$/m)
  assert.match(text, /^hibiscusrelay_request_seconds_bucket\{outcome="ran",le="0.005"\} 1$/m)
  assert.match(text, /^hibiscusrelay_request_seconds_bucket\{outcome="ran",le="0.3"\} 3$/m)
  assert.match(text, /^hibiscusrelay_request_seconds_bucket\{outcome="ran",le="\+Inf"\} 4$/m)
  assert.match(text, /^hibiscusrelay_request_seconds_count\{outcome="ran"\} 4$/m)
  assert.match(text, /^hibiscusrelay_request_seconds_sum\{outcome="ran"\} 9\.504$/m)
})
