import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { EventLoopMonitor } from '../../src/observe/EventLoopMonitor.js'
import type { LogFields } from '../../src/observe/Log.js'

test('a turn of the event loop that comes late is logged with its lateness, and kept for a while', async (context) => {
  const lines: LogFields[] = []
  const keep = (_event: string, fields: LogFields): void => { lines.push(fields) }
  const watch = new EventLoopMonitor({ info: keep, warn: keep, error: keep }, new Counters())
  watch.start()
  context.after(() => { watch.stop() })
  const until = performance.now() + 300
  while (performance.now() < until);
  await new Promise((resolve) => { setTimeout(resolve, 120) })
  assert.ok(Number(lines[0]?.late) >= 200)
  assert.ok(watch.lateMilliseconds >= 200)
})
