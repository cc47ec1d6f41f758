import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { EntryRequest } from '../../src/entry/EntryRequest.js'
import type { GuestAccount } from '../../src/plan/RoutingPlan.js'
import type { QuotaAnswer } from '../../src/quota/QuotaAnswer.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createAccount } from '../plan/createPlan.js'
import { openRawServer } from '../support/openRawServer.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture } from './createRelayFixture.js'

const LIMITED = createAccount({ requestsPerSecond: 5, burst: 1 })
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

interface Served {
  answer: RelayAnswer
  sends: number
  takes: number
  refunds: number
}

/** Sends one request of an account to an upstream, with the given answer of the quota. */
async function serve (context: TestContext, account: GuestAccount, quotaAnswer: Partial<QuotaAnswer>, upstreamHead: string | undefined, overrides: Partial<EntryRequest> = {}): Promise<Served> {
  const counts = { sends: 0, takes: 0, refunds: 0 }
  const server = await openRawServer((socket) => {
    counts.sends += 1
    socket.write(`HTTP/1.1 ${upstreamHead}\r\nattempt-id: a-1\r\ncontent-length: 0\r\n\r\n`)
  })
  const quota = {
    take: async (): Promise<QuotaAnswer> => {
      counts.takes += 1
      return { refund: () => { counts.refunds += 1 }, ...quotaAnswer } as QuotaAnswer
    }
  }
  const { relay, connections } = createRelayFixture([upstreamHead === undefined ? UNREACHABLE_ADDRESS : server.address], {}, { quota })
  context.after(async () => {
    await connections.destroy()
    await server.close()
  })
  const answer = await relay.serve(createEntryRequest({}, { access: { account }, ...overrides }))
  return { answer, ...counts }
}

// Guards against requests over the quota that reach an upstream.
test('a request over the quota of its account gets 429 with the time of the next token, and is not sent', async (context) => {
  const { answer, sends } = await serve(context, LIMITED, { isGranted: false, retryAfterMilliseconds: 730, isExceeded: true }, '200 OK')
  assert.deepEqual([answer.status, answer.reason, answer.retryAfterMilliseconds, sends], [429, RefusalReason.QuotaExceeded, 730, 0])
})

// Guards against guests who are told that they are over their quota although nobody knows.
test('a request whose quota is not known gets 503 and is not sent', async (context) => {
  const { answer, sends } = await serve(context, LIMITED, { isGranted: false, retryAfterMilliseconds: 200, isExceeded: false }, '200 OK')
  assert.deepEqual([answer.status, answer.reason, sends], [503, RefusalReason.QuotaUnavailable, 0])
})

test('a guest that left while its request waited for a token counts as cancelled', async (context) => {
  const { answer } = await serve(context, LIMITED, { isGranted: false, retryAfterMilliseconds: 0, isExceeded: false }, '200 OK', { cancelled: AbortSignal.abort() })
  assert.equal(answer.reason, RefusalReason.Cancelled)
})

// Guards against accounts that pay for requests which no upstream got, and against runs that are not counted.
test('the token is given back only if the request reached no upstream', async (context) => {
  const unreachable = await serve(context, LIMITED, { isGranted: true }, undefined)
  assert.deepEqual([unreachable.answer.status, unreachable.refunds], [503, 1])
  const ran = await serve(context, LIMITED, { isGranted: true }, '200 OK\r\nresponse-signature: s')
  assert.deepEqual([ran.answer.status, ran.sends, ran.refunds], [200, 1, 0])
  const shed = await serve(context, LIMITED, { isGranted: true }, '503 Full\r\nnot-executed: 1')
  assert.deepEqual([shed.answer.status, shed.refunds], [503, 0])
})

// Guards against guests of other accounts who wait for a control host.
test('a request of an account without a limit, or of none, takes no token', async (context) => {
  const unlimited = await serve(context, createAccount(), { isGranted: false, isExceeded: true }, '200 OK\r\nresponse-signature: s')
  assert.deepEqual([unlimited.answer.status, unlimited.takes], [200, 0])
  const withoutAccount = await serve(context, LIMITED, { isGranted: false, isExceeded: true }, '200 OK\r\nresponse-signature: s', { access: { account: undefined } })
  assert.deepEqual([withoutAccount.answer.status, withoutAccount.takes], [200, 0])
})
