import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { RunGate } from '../../src/relay/RunGate.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const flushImmediates = async (): Promise<void> => { await new Promise((resolve) => { setImmediate(resolve) }) }

test('copies of an unproven request pass one at a time; after one has run to completion, all pass', async () => {
  const poison = new PoisonGuard()
  const gate = new RunGate(poison)
  const leaveFunctions: Array<() => void> = []
  for (let copy = 0; copy < 4; copy += 1) {
    gate.enter(createRelayedRequest('f', 5_000)).then((leave) => { if (typeof leave !== 'string') leaveFunctions.push(leave) }, () => {})
  }
  await flushImmediates()
  assert.equal(leaveFunctions.length, 1)
  leaveFunctions[0]?.()
  await flushImmediates()
  assert.equal(leaveFunctions.length, 2, 'the first copy ended without a success')
  poison.recordSuccess('f')
  leaveFunctions[1]?.()
  await flushImmediates()
  assert.equal(leaveFunctions.length, 4)
})

test('a request with another fingerprint does not wait', async () => {
  const gate = new RunGate(new PoisonGuard())
  assert.equal(typeof await gate.enter(createRelayedRequest('f', 5_000)), 'function')
  assert.equal(typeof await gate.enter(createRelayedRequest('g', 5_000)), 'function')
})

test('a waiting copy is refused before its deadline, or when its guest disconnects', async (context) => {
  pauseClock(context)
  const gate = new RunGate(new PoisonGuard())
  await gate.enter(createRelayedRequest('f', 5_000))
  const cancellation = new AbortController()
  let late: unknown
  let cancelled: unknown
  gate.enter(createRelayedRequest('f', 1_000)).then((result) => { late = result }, () => {})
  gate.enter(createRelayedRequest('f', 400, cancellation.signal)).then((result) => { cancelled = result }, () => {})
  cancellation.abort()
  await advance(context, 990)
  assert.deepEqual([late, cancelled], [RefusalReason.DeadlinePassed, RefusalReason.Cancelled])
})

test('a loss after a success makes copies wait again', async () => {
  const poison = new PoisonGuard()
  const gate = new RunGate(poison)
  poison.recordSuccess('f')
  poison.recordLoss({ fingerprint: 'f', lostUpstreams: ['one'] })
  await gate.enter(createRelayedRequest('f', 5_000))
  let second: unknown
  gate.enter(createRelayedRequest('f', 5_000)).then((result) => { second = result }, () => {})
  await flushImmediates()
  assert.equal(second, undefined)
})
