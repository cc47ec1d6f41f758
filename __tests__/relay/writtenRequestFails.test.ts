import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { AnswerCollector } from '../../src/relay/AnswerCollector.js'

for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CLOSED']) {
  // Guards against a request that may have run and is refused as if its peer had not been reached.
  test(`a request that was written may have run, also when its connection fails with ${code}`, async () => {
    const collector = new AnswerCollector({ peer: 'upstream', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 1_000, cancelled: new AbortController().signal, answerBufferBytes: 1_024, closeConnection: false, mayWrite: () => true })
    const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
    collector.onRequestStart(controller)
    collector.onResponseError(controller, Object.assign(new Error(code), { code }))
    const error = await collector.answer.catch((cause: unknown) => cause)
    assert.ok(error instanceof ExchangeError)
    assert.deepEqual([error.failure, error.written], [ExchangeFailure.Broken, true])
  })
}
