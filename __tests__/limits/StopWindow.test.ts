import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StopWindow } from '../../src/limits/StopWindow.js'

test('a host that does not stop admits every request', () => {
  assert.equal(new StopWindow().admits(Number.MAX_VALUE), true)
})

test('only requests whose answer is due clearly before the end are admitted, and a later order to stop does not extend it', () => {
  const stopWindow = new StopWindow()
  stopWindow.begin(10_000)
  stopWindow.begin(60_000)
  assert.equal(stopWindow.admits(9_000), true)
  assert.equal(stopWindow.admits(10_000), false)
  assert.equal(stopWindow.admits(20_000), false)
})

test('pending work that could not be answered is refused when the stop begins, other work and work that has begun is not', () => {
  const stopWindow = new StopWindow()
  const refused: string[] = []
  stopWindow.watch(9_000, () => { refused.push('in time') })
  stopWindow.watch(20_000, () => { refused.push('too late') })
  const endWatch = stopWindow.watch(20_000, () => { refused.push('begun') })
  endWatch()
  stopWindow.begin(10_000)
  assert.deepEqual(refused, ['too late'])
})
