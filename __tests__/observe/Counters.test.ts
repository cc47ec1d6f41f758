import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'

test('a declared counter reads zero until its first event, and the sink sees each event', () => {
  const seen: string[] = []
  const counters = new Counters({ increment: (name, by) => { seen.push(`${name}+${by}`) }, gauge: () => {} })
  counters.declare('refused.deadline')
  assert.equal(counters.snapshot()['refused.deadline'], 0)
  counters.increment('refused.deadline')
  counters.increment('refused.deadline', 2)
  assert.equal(counters.read('refused.deadline'), 3)
  assert.deepEqual(seen, ['refused.deadline+1', 'refused.deadline+2'])
})
