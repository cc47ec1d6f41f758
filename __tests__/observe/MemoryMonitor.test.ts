import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ConnectionMemory } from '../../src/limits/ConnectionMemory.js'
import { Counters } from '../../src/observe/Counters.js'
import { MemoryMonitor } from '../../src/observe/MemoryMonitor.js'
import { pauseClock } from '../support/pauseClock.js'

// Guards against a host that ends of a full heap without a line on what filled it.
test('tells heap and memory outside it as gauges, and logs nothing while the heap has room', (context) => {
  pauseClock(context)
  const counters = new Counters()
  const warnings: string[] = []
  const monitor = new MemoryMonitor({ info: () => {}, warn: (event) => { warnings.push(event) }, error: () => {} }, counters, { heldBytes: 7, connections: { heldBytes: 5, closed: 2 } as unknown as ConnectionMemory })
  monitor.start()
  context.mock.timers.tick(1_000)
  monitor.stop()
  assert.ok(counters.read('memory.heap-bytes') > 0)
  assert.ok(counters.read('memory.heap-limit-bytes') > counters.read('memory.heap-bytes'))
  assert.ok(counters.read('memory.external-bytes') > 0)
  assert.equal(counters.read('memory.held-bytes'), 7)
  assert.deepEqual(warnings, [])
})
