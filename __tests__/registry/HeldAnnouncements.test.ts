import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { HeldAnnouncements } from '../../src/registry/HeldAnnouncements.js'
import { pauseClock } from '../support/pauseClock.js'
import { createUpstreamRecord } from './createUpstreamRecord.js'

const MAXIMUM_AGE_MILLISECONDS = 4_500
const MAXIMUM_HELD = 1_000

test('held announcements are bounded in number, and the newest of each upstream is kept', (context: TestContext) => {
  pauseClock(context)
  const held = new HeldAnnouncements(MAXIMUM_AGE_MILLISECONDS)
  for (let number = 0; number < 3 * MAXIMUM_HELD; number += 1) held.hold(createUpstreamRecord({ id: `i-${number}` }))
  held.hold(createUpstreamRecord({ id: `i-${3 * MAXIMUM_HELD - 1}`, sequence: 3 }))
  held.hold(createUpstreamRecord({ id: `i-${3 * MAXIMUM_HELD - 1}`, sequence: 2 }))
  const taken = held.take(() => true)
  assert.equal(taken.length, MAXIMUM_HELD)
  assert.deepEqual([taken[0]?.record.id, taken.at(-1)?.record.id, taken.at(-1)?.record.sequence], [`i-${2 * MAXIMUM_HELD}`, `i-${3 * MAXIMUM_HELD - 1}`, 3])
  assert.deepEqual(held.take(() => true), [])
})

test('announcements are taken once their service is known, with their age, and not when they are too old', (context: TestContext) => {
  pauseClock(context)
  const held = new HeldAnnouncements(MAXIMUM_AGE_MILLISECONDS)
  held.hold(createUpstreamRecord({ id: 'i-old', service: 'pedidos' }))
  context.mock.timers.tick(2_000)
  held.hold(createUpstreamRecord({ id: 'i-new', service: 'pedidos' }))
  held.hold(createUpstreamRecord({ id: 'i-other', service: 'nowhere' }))
  context.mock.timers.tick(3_000)
  const taken = held.take((service) => service === 'pedidos')
  assert.deepEqual(taken.map(({ record, ageMilliseconds }) => [record.id, ageMilliseconds]), [['i-new', 3_000]])
})
