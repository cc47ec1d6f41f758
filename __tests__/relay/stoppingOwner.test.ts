import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Outcome } from '../../src/types/Outcome.js'
import { DEADLINE_MILLISECONDS, forwardThroughOwner } from './forwardThroughOwner.js'

test('an owner that stops sends no forwarded request to an upstream whose answer could come after its end', async (context) => {
  const stopWindow = new StopWindow()
  stopWindow.begin(performance.now() + DEADLINE_MILLISECONDS / 2)
  const { answer, runs } = await forwardThroughOwner(context, () => {}, { stopWindow })
  assert.equal(answer.outcome, Outcome.NotRun)
  assert.equal(runs, 0)
})

test('an owner that stops still serves a forwarded request that is due before its end', async (context) => {
  const stopWindow = new StopWindow()
  stopWindow.begin(performance.now() + 2 * DEADLINE_MILLISECONDS)
  const { answer, runs } = await forwardThroughOwner(context, (socket) => { socket.write('HTTP/1.1 200 OK\r\nhibiscusrelay-request: r\r\nContent-Length: 4\r\n\r\ndone') }, { stopWindow })
  assert.equal(answer.outcome, Outcome.Ran)
  assert.equal(runs, 1)
})
