import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { EventLoopMonitor } from '../../src/observe/EventLoopMonitor.js'
import type { LogFields } from '../../src/observe/Log.js'

test('a late turn of the event loop is logged with its lateness, and the maximum is retained', async (context) => {
  const lines: LogFields[] = []
  const recordLine = (_event: string, fields: LogFields): void => { lines.push(fields) }
  const monitor = new EventLoopMonitor({ info: recordLine, warn: recordLine, error: recordLine }, new Counters())
  monitor.start()
  context.after(() => { monitor.stop() })
  const busyUntil = performance.now() + 300
  while (performance.now() < busyUntil);
  await new Promise((resolve) => { setTimeout(resolve, 120) })
  assert.ok(Number(lines[0]?.late) >= 200)
  assert.ok(monitor.maximumLateMilliseconds >= 200)
})
