import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ClaimResult, type ClaimAnswer, type ClaimLedger } from '../../src/ledger/ClaimLedger.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { Counters } from '../../src/observe/Counters.js'
import { Ingress } from '../../src/relay/Ingress.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { answerUnknown } from '../../src/relay/refuse.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import type { RelayedRequest } from '../../src/relay/RelayedRequest.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const DEADLINE_MILLISECONDS = 300
const LEDGER_DELAY_MILLISECONDS = 1_000
const HOST = { name: 'oviedo-1', domain: 'oviedo', region: 'asturias', peerAddress: 'a:1', guestAddress: 'a:2' }
const GRANTED: ClaimAnswer = { result: ClaimResult.Granted, mayHaveRun: false, isStillValid: () => true }

function resolveAfter<Result> (milliseconds: number, result: Result): Promise<Result> {
  return new Promise((resolve) => { setTimeout(() => { resolve(result) }, milliseconds) })
}

/** Serves a one-time action at an ingress whose ledger is slow in one step. */
async function serveOneTimeAction (context: TestContext, ledger: Partial<ClaimLedger>): Promise<{ answer: RelayAnswer | undefined, sent: number, released: string[] }> {
  pauseClock(context)
  const released: string[] = []
  let sent = 0
  const completeLedger: ClaimLedger = {
    ticketPrefix: () => undefined,
    claim: async () => GRANTED,
    complete: async () => {},
    markUnknown: async () => {},
    release: async (key) => { released.push(key) },
    ...ledger
  }
  const ingress = new Ingress({
    chooseOwner: () => ({ host: HOST, mayWait: true, settle: () => {} }),
    sendToOwner: async () => {
      sent += 1
      return answerUnknown(RefusalReason.AnswerLost)
    },
    ledger: completeLedger,
    stopWindow: new StopWindow(),
    poison: new PoisonGuard(),
    retryBudget: () => new RetryBudget(10),
    counters: new Counters()
  })
  const request: RelayedRequest = {
    id: 'r', service: 'reservas', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), requestClass: RequestClass.OneTime, key: 'k', deadline: DEADLINE_MILLISECONDS, fingerprint: 'f', mayWait: true, mayStart: () => true, cancelled: new AbortController().signal
  }
  let answer: RelayAnswer | undefined
  ingress.serve(request, undefined).then((result) => { answer = result }, () => {})
  await advance(context, DEADLINE_MILLISECONDS)
  const inTime = answer
  await advance(context, LEDGER_DELAY_MILLISECONDS)
  return { answer: inTime, sent, released }
}

test('an action whose claim takes longer than the deadline is answered in time as unknown and never sent; its claim is released', async (context) => {
  const { answer, sent, released } = await serveOneTimeAction(context, { claim: () => resolveAfter(LEDGER_DELAY_MILLISECONDS, GRANTED) })
  assert.equal(answer?.outcome, Outcome.Unknown)
  assert.equal(answer.reason, RefusalReason.LedgerUnavailable)
  assert.equal(sent, 0)
  assert.deepEqual(released, ['k'])
})

test('an outcome that the ledger is slow to store does not delay the answer beyond the deadline', async (context) => {
  const { answer, sent } = await serveOneTimeAction(context, { markUnknown: () => resolveAfter(LEDGER_DELAY_MILLISECONDS, undefined) })
  assert.equal(answer?.outcome, Outcome.Unknown)
  assert.equal(sent, 1)
})
