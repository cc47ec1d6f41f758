import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'

test('a declared counter is zero until its first increment, and the sink receives each increment', () => {
  const sinkCalls: string[] = []
  const counters = new Counters({ increment: (name, by) => { sinkCalls.push(`${name}+${by}`) }, gauge: () => {} })
  counters.declare('refused.deadline')
  assert.equal(counters.snapshot()['refused.deadline'], 0)
  counters.increment('refused.deadline')
  counters.increment('refused.deadline', 2)
  assert.equal(counters.read('refused.deadline'), 3)
  assert.deepEqual(sinkCalls, ['refused.deadline+1', 'refused.deadline+2'])
})
