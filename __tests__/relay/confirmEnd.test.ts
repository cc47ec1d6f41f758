import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { AnswerCollector } from '../../src/relay/AnswerCollector.js'
import type { ExchangeRequest } from '../../src/relay/exchange.js'

const BUFFER_BYTES = 4
const CONFIRMATION_MILLISECONDS = 50

/** Receives an answer without a length whose connection has ended in order. */
function receiveAnswer (body: string, overrides: Partial<ExchangeRequest>): AnswerCollector {
  const collector = new AnswerCollector({ peer: 'upstream', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 1_000, cancelled: new AbortController().signal, answerBufferBytes: BUFFER_BYTES, closeConnection: false, mayWrite: () => true, ...overrides })
  // The library ignores what is done to an exchange after the end of its answer.
  const controller = { abort: (error: Error) => { if (!hasEnded) collector.onResponseError(controller, error) }, pause: () => {}, resume: () => {} } as unknown as Dispatcher.DispatchController
  let hasEnded = false
  collector.onRequestStart(controller)
  collector.onResponseStart(controller, 200, {})
  collector.onResponseData(controller, Buffer.from(body))
  hasEnded = true
  collector.onResponseEnd()
  return collector
}

async function readFailure (collector: AnswerCollector): Promise<ExchangeFailure | undefined> {
  const error = await collector.answer.then(() => undefined, (cause: unknown) => cause)
  assert.ok(error === undefined || error instanceof ExchangeError)
  assert.equal(error?.failure, await collector.finished)
  return error?.failure
}

const confirmLater = (isConfirmed: boolean) => async (): Promise<boolean> => {
  await new Promise((resolve) => { setTimeout(resolve, CONFIRMATION_MILLISECONDS) })
  return isConfirmed
}

test('an answer without a length is whole only once its end is confirmed', async () => {
  const startedAt = performance.now()
  assert.equal(await readFailure(receiveAnswer('ab', { confirmEnd: confirmLater(true) })), undefined)
  assert.ok(performance.now() - startedAt >= CONFIRMATION_MILLISECONDS - 1)
})

for (const [name, confirmEnd] of Object.entries({ 'is not confirmed': confirmLater(false), 'cannot be confirmed': async () => { throw new Error('no connection') }, 'nobody confirms': undefined })) {
  test(`an answer without a length whose end ${name} is broken`, async () => {
    assert.equal(await readFailure(receiveAnswer('ab', { confirmEnd })), ExchangeFailure.Broken)
  })
}

// Guards against guests that wait for a confirmation beyond their deadline.
test('a confirmation that takes longer than the deadline ends the exchange at the deadline', async () => {
  const startedAt = performance.now()
  const confirmEnd = async (): Promise<boolean> => { await new Promise((resolve) => { setTimeout(resolve, 400) }); return true }
  assert.equal(await readFailure(receiveAnswer('ab', { confirmEnd, deadline: startedAt + 40 })), ExchangeFailure.TimedOut)
  assert.ok(performance.now() - startedAt < 300)
})

// Guards against a part of an answer that looks whole because the guest's connection ends between two writes.
test('an answer without a length that is too large to be written at once is not passed on, although its end is confirmed', async () => {
  for (const answerBufferBytes of [BUFFER_BYTES, 100_000]) {
    assert.equal(await readFailure(receiveAnswer('p'.repeat(32_769), { confirmEnd: confirmLater(true), answerBufferBytes })), ExchangeFailure.Undelimited)
  }
  assert.equal(await readFailure(receiveAnswer('p'.repeat(32_768), { confirmEnd: confirmLater(true), answerBufferBytes: 100_000 })), undefined)
})

test('a guest that leaves during the confirmation ends the exchange', async () => {
  const abortController = new AbortController()
  const collector = receiveAnswer('ab', { confirmEnd: confirmLater(true), cancelled: abortController.signal })
  abortController.abort()
  assert.equal(await readFailure(collector), ExchangeFailure.Cancelled)
})
