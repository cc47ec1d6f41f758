import assert from 'node:assert/strict'
import type { Readable } from 'node:stream'
import { test } from 'node:test'
import type { Dispatcher } from 'undici'
import { ExchangeError, ExchangeFailure } from '../../src/errors/ExchangeError.js'
import { AnswerBudget } from '../../src/relay/AnswerBudget.js'
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

const CHUNK_BYTES = 1_024
const OVERSIZED_CHUNKS = 8

function receiveAnswer (answerBudget: AnswerBudget, chunks: number): { collector: AnswerCollector, state: { isPaused: boolean } } {
  const collector = new AnswerCollector({ peer: 'upstream', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), deadline: performance.now() + 1_000, cancelled: new AbortController().signal, answerBufferBytes: 4 * CHUNK_BYTES, answerBudget, closeConnection: false, mayWrite: () => true })
  const state = { isPaused: false }
  const controller: Dispatcher.DispatchController = { abort: (cause: Error) => { collector.onResponseError(controller, cause) }, pause: () => { state.isPaused = true }, resume: () => {} } as never
  collector.onRequestStart(controller)
  collector.onResponseStart(controller, 200, { 'transfer-encoding': 'chunked' })
  for (let received = 0; received < chunks; received += 1) collector.onResponseData(controller, Buffer.alloc(CHUNK_BYTES))
  return { collector, state }
}

// Guards against answers without end of a faulty upstream that together take a host over its memory.
test('answers that do not end are passed on up to a number of them; further ones fail, and small answers do not', async () => {
  const budget = new AnswerBudget(1_000_000, 2)
  const streams = [receiveAnswer(budget, OVERSIZED_CHUNKS), receiveAnswer(budget, OVERSIZED_CHUNKS)]
  const bodies = await Promise.all(streams.map(async ({ collector }) => (await collector.answer).body as Readable))
  const failed = await receiveAnswer(budget, OVERSIZED_CHUNKS).collector.answer.catch((cause: unknown) => cause)
  assert.ok(failed instanceof ExchangeError)
  assert.equal(failed.failure, ExchangeFailure.Broken)
  const small = receiveAnswer(budget, 1).collector
  small.onResponseEnd()
  assert.equal(((await small.answer).body as Buffer).length, CHUNK_BYTES)
  bodies[0]!.destroy()
  await new Promise((resolve) => { setImmediate(resolve) })
  const { collector } = receiveAnswer(budget, OVERSIZED_CHUNKS)
  const body = (await collector.answer).body as Readable
  for (const each of [body, bodies[1]!]) each.destroy()
})

test('an answer that does not fit into the budget of buffered bytes is passed on while it arrives', async () => {
  const budget = new AnswerBudget(3 * CHUNK_BYTES, 2)
  const { collector } = receiveAnswer(budget, 2)
  const passedOn = receiveAnswer(budget, 2).collector
  const body = (await passedOn.answer).body
  assert.equal(Buffer.isBuffer(body), false)
  collector.onResponseEnd()
  assert.equal(((await collector.answer).body as Buffer).length, 2 * CHUNK_BYTES)
  ;(body as Readable).destroy()
})

test('an answer that its receiver does not read is paused after a small buffer', async () => {
  const { collector, state } = receiveAnswer(new AnswerBudget(1_000_000, 1), 32)
  const body = (await collector.answer).body as Readable
  assert.equal(state.isPaused, true)
  body.destroy()
})
