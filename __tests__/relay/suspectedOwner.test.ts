import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { Dispatcher } from 'undici'
import { forwardToOwner } from '../../src/relay/forwardToOwner.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { ANSWER_HEAD_HEADER, encodeHead } from '../../src/relay/RelayHead.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const ANSWER_MILLISECONDS = 300

/** @returns connections to an owner that answers each request after a delay */
function createSlowOwner (): Dispatcher {
  const head = encodeHead({ id: 'r', lostUpstreams: [], outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], pool: undefined })
  const dispatch = (_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean => {
    const controller = { abort: (cause: Error) => { handler.onResponseError?.(controller, cause) } } as unknown as Dispatcher.DispatchController
    handler.onRequestStart?.(controller, {})
    setTimeout(() => {
      handler.onResponseStart?.(controller, 200, { [ANSWER_HEAD_HEADER]: head, 'content-length': '0' }, '')
      handler.onResponseEnd?.(controller, {})
    }, ANSWER_MILLISECONDS)
    return true
  }
  return { dispatch } as unknown as Dispatcher
}

/** Sends requests to an owner that becomes suspected while they are in flight, although it is alive. */
async function sendToSuspectedOwner (context: TestContext, requests: number, requestClass: RequestClass): Promise<RelayAnswer[]> {
  pauseClock(context)
  const suspicion = new AbortController()
  const budget = new RetryBudget(10)
  const answers = Promise.all(Array.from({ length: requests }, () => forwardToOwner({ ...createRelayedRequest('f', 2_000), requestClass }, {
    address: '127.0.0.9:1',
    poison: new PoisonGuard(),
    gone: suspicion.signal,
    takeRetry: () => budget.trySpend(),
    fromRegion: 'asturias',
    trySpend: () => true,
    connections: createSlowOwner(),
    signature: new PeerSignature('key'),
    answerBufferBytes: 1024
  })))
  await advance(context, 100)
  suspicion.abort()
  await advance(context, 400)
  return await answers
}

test('requests at a suspected owner are abandoned only as far as the retry budget allows them to be sent again', async (context) => {
  const answers = await sendToSuspectedOwner(context, 40, RequestClass.Idempotent)
  const abandoned = answers.filter(({ outcome }) => outcome !== Outcome.Ran)
  assert.equal(abandoned.length, 10)
  assert.ok(abandoned.every(({ retryTaken }) => retryTaken === true))
})

test('the answer to a one-time action is awaited at a suspected owner', async (context) => {
  const answers = await sendToSuspectedOwner(context, 3, RequestClass.OneTime)
  assert.ok(answers.every(({ outcome }) => outcome === Outcome.Ran))
})
