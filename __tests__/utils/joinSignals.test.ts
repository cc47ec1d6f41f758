import assert from 'node:assert/strict'
import { getEventListeners } from 'node:events'
import { test } from 'node:test'
import { joinSignals } from '../../src/utils/joinSignals.js'

test('the joined signal is aborted as soon as one of the signals is, or at once if one already is', () => {
  const [first, second] = [new AbortController(), new AbortController()]
  const joined = joinSignals([first.signal, second.signal])
  assert.equal(joined.signal.aborted, false)
  second.abort()
  assert.equal(joined.signal.aborted, true)
  assert.equal(joinSignals([first.signal, second.signal]).signal.aborted, true)
})

test('a released signal leaves no listener on a long-lived signal and is no longer aborted', () => {
  const longLived = new AbortController()
  const joined = joinSignals([longLived.signal])
  joined.release()
  assert.equal(getEventListeners(longLived.signal, 'abort').length, 0)
  longLived.abort()
  assert.equal(joined.signal.aborted, false)
})
