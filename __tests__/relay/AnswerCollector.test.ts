import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { AnswerCollector } from '../../src/relay/AnswerCollector.js'

test('a request that was written is not written again on another connection', async () => {
  const collector = new AnswerCollector({ peer: 'upstream', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 1_000, cancelled: new AbortController().signal, answerBufferBytes: 1_024, closeConnection: false, mayWrite: () => true })
  const createController = (): Dispatcher.DispatchController => {
    const controller = { abort: (cause: Error) => { collector.onResponseError(controller as never, cause) } }
    return controller as never
  }
  collector.onRequestStart(createController())
  collector.onRequestStart(createController())
  const error = await collector.answer.catch((cause: unknown) => cause)
  assert.ok(error instanceof ExchangeError)
  assert.equal(error.failure, ExchangeFailure.Broken)
  assert.equal(error.written, true)
})
