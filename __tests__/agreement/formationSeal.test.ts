import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { FormationSeal } from '../../src/agreement/FormationSeal.js'
import { pauseClock } from '../support/pauseClock.js'

test('a replica leaves its group only right after it was sealed, and takes no part in it from then on', (context: TestContext) => {
  pauseClock(context)
  const seal = new FormationSeal()
  assert.equal(seal.leave('1'), false)
  seal.seal('1')
  context.mock.timers.tick(300)
  assert.deepEqual([seal.leave('1'), seal.isSealed], [false, true])
  context.mock.timers.tick(2_000)
  assert.equal(seal.isSealed, false)
  seal.seal('1')
  context.mock.timers.tick(200)
  assert.equal(seal.leave('1'), true)
  context.mock.timers.tick(60_000)
  assert.equal(seal.isSealed, true)
})

// Guards against a replica that leaves late since its machine was suspended after it was sealed: its monotonic clock stood still.
test('a suspension prolongs the seal, and forbids to leave', (context: TestContext) => {
  pauseClock(context)
  const seal = new FormationSeal()
  seal.seal('1')
  const now = performance.now()
  performance.now = () => now
  context.mock.timers.tick(10_000)
  assert.deepEqual([seal.isSealed, seal.leave('1')], [true, false])
})

// Guards against a command to leave that was held up: the attempt for which the replica is sealed now may fail.
test('a replica does not leave for an attempt other than the one for which it was sealed last', (context: TestContext) => {
  pauseClock(context)
  const seal = new FormationSeal()
  seal.seal('1')
  seal.seal('2')
  assert.deepEqual([seal.leave('1'), seal.leave('2')], [false, true])
})
