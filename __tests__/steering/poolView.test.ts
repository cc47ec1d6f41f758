import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PoolView } from '../../src/steering/PoolView.js'
import { pauseClock } from '../support/pauseClock.js'

const HOME = { domain: 'a1', region: 'a' }
const NEAR = { owner: 'a2-1', place: 'a2', domain: 'a2', region: 'a' }
const FAR = { owner: 'b1-1', place: 'b1', domain: 'b1', region: 'b' }
const NO_AGING = { agingMilliseconds: 1e12 }

function assertClose (actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) < 1e-6, `${actual} instead of ${expected}`)
}

test('free slots are those of the latest report, less the requests sent since', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  view.recordReport(NEAR, { freeSlots: 6, slots: 6 }, 0)
  context.mock.timers.tick(10)
  const first = view.recordSent(NEAR)
  view.recordSent(NEAR)
  assertClose(view.freeSlots('a2-1'), 4)
  context.mock.timers.tick(20)
  view.recordAnswer(NEAR, first, { freeSlots: 5, slots: 6, heldMilliseconds: 18, runMilliseconds: 18 })
  assertClose(view.freeSlots('a2-1'), 5)
})

test('a request that the report cannot include stays subtracted', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  view.recordReport(FAR, { freeSlots: 6, slots: 6 }, 0)
  const first = view.recordSent(FAR)
  context.mock.timers.tick(100)
  view.recordSent(FAR)
  context.mock.timers.tick(20)
  view.recordAnswer(FAR, first, { freeSlots: 3, slots: 6, heldMilliseconds: 20 })
  assertClose(view.freeSlots('b1-1'), 2)
})

test('an older report does not replace the free slots of a newer one, but its slots apply', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  view.recordReport(NEAR, { freeSlots: 2, slots: 6 }, 10)
  view.recordReport(NEAR, { freeSlots: 6, slots: 12 }, 500)
  assertClose(view.freeSlots('a2-1'), 2)
})

test('a request that ends without a report frees its slot', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  view.recordReport(NEAR, { freeSlots: 2, slots: 6 }, 0)
  context.mock.timers.tick(10)
  const sentAt = view.recordSent(NEAR)
  assertClose(view.freeSlots('a2-1'), 1)
  view.recordEnd(NEAR, sentAt)
  assertClose(view.freeSlots('a2-1'), 2)
})

test('the mean of the reports replaces an old report gradually', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, { agingMilliseconds: 50 })
  view.recordReport(NEAR, { freeSlots: 4, slots: 6 }, 0)
  context.mock.timers.tick(1)
  view.recordReport(NEAR, { freeSlots: -6, slots: 6 }, 0)
  assertClose(view.freeSlots('a2-1'), -6)
  context.mock.timers.tick(1_000)
  assertClose(Math.round(view.freeSlots('a2-1') * 10) / 10, 3.5)
})

test('the estimate of an owner that always reports free slots is limited by the outstanding requests', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  for (let sent = 0; sent < 8; sent++) view.recordSent(NEAR)
  context.mock.timers.tick(100)
  view.recordReport(NEAR, { freeSlots: 6, slots: 6 }, 0)
  assertClose(view.freeSlots('a2-1'), -2)
})

test('the delay is the round trip plus, when no slot is free, twice the expected wait', (context) => {
  pauseClock(context)
  const view = new PoolView(HOME, NO_AGING)
  assertClose(view.delayMilliseconds(FAR), 50)
  const sentAt = view.recordSent(FAR)
  context.mock.timers.tick(130)
  view.recordAnswer(FAR, sentAt, { freeSlots: 3, slots: 6, heldMilliseconds: 20, runMilliseconds: 20 })
  assertClose(view.delayMilliseconds(FAR), 110)
  view.recordReport(FAR, { freeSlots: -5, slots: 6 }, 0)
  assertClose(view.delayMilliseconds(FAR), 110 + 2 * 6 * 20 / 6)
})

test('an unknown or removed owner is assumed to have one free slot', () => {
  const view = new PoolView(HOME)
  assert.equal(view.freeSlots('a2-1'), 1)
  view.recordReport(NEAR, { freeSlots: 6, slots: 6 }, 0)
  view.remove('a2-1')
  assert.equal(view.freeSlots('a2-1'), 1)
})

test('an answer of an owner that was removed since does not add it again', () => {
  const view = new PoolView(HOME)
  const sentAt = view.recordSent(NEAR)
  view.remove('a2-1')
  view.recordAnswer(NEAR, sentAt, { freeSlots: 6, slots: 6, heldMilliseconds: 0 })
  view.recordEnd(NEAR, sentAt)
  assert.equal(view.freeSlots('a2-1'), 1)
})
