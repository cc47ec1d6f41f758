import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { Owner } from '../../src/relay/Owner.js'
import { MAXIMUM_PAUSE_MILLISECONDS } from '../../src/relay/parseRetryAfter.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import type { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

/** An owner avoids an upstream that shed a request for 100 ms, if it asks for no longer pause. */
const USUAL_MILLISECONDS = 100
const GRANT_MILLISECONDS = 2 * MAXIMUM_PAUSE_MILLISECONDS
const DEADLINE_MILLISECONDS = 2_000

/**
 * Sends a request through an owner to its only upstream, which answers with the given fields.
 *
 * @returns the owner's reason for a refusal, and the least time after the answer until the upstream has free slots, in steps of 50 ms
 */
async function measurePause (context: TestContext, statusAndFields: string): Promise<{ reason: RefusalReason | undefined, pauseMilliseconds: number }> {
  const server = await openRawServer((socket) => { socket.write(`HTTP/1.1 ${statusAndFields}hibiscusrelay-request: r\r\ncontent-length: 0\r\n\r\n`) })
  const poison = new PoisonGuard()
  const pools = new PoolRegistry({ queueLength: 1, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address: server.address, echoesRequest: true }))
  upstream.extendGrant(performance.now() + GRANT_MILLISECONDS)
  pools.ensure('inventario').upstreams.set(upstream.address, upstream)
  const owner = new Owner({ pools, poison, retryBudget: () => noRetries, onBroken: async () => {}, isAlive: async () => false, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: 16, counters: new Counters(), log: silentLog })
  context.after(async () => {
    await upstream.close()
    await server.close()
  })
  const { reason } = await owner.serve(createRelayedRequest('f', DEADLINE_MILLISECONDS))
  const now = performance.now()
  let pauseMilliseconds = 0
  while (pauseMilliseconds < GRANT_MILLISECONDS && upstream.freeSlots(now + pauseMilliseconds) === 0) pauseMilliseconds += 50
  return { reason, pauseMilliseconds }
}

/** A retry would wait for the end of the pause. */
const noRetries = { trySpend: () => false } as unknown as RetryBudget
const SHED = '503 Full\r\nhibiscusrelay-shed: not-run\r\n'

const pauses: Array<{ name: string, fields: string, milliseconds: number }> = [
  { name: 'a pause in whole seconds', fields: 'retry-after: 6\r\n', milliseconds: 6_000 },
  { name: 'a pause with a fraction', fields: 'retry-after: 0.4\r\n', milliseconds: 400 },
  { name: 'several pauses, of which the longest holds', fields: 'retry-after: 1\r\nretry-after: 3\r\nretry-after: 2\r\n', milliseconds: 3_000 },
  { name: 'a pause beyond the bound', fields: 'retry-after: 86400\r\n', milliseconds: MAXIMUM_PAUSE_MILLISECONDS },
  { name: 'no pause', fields: '', milliseconds: USUAL_MILLISECONDS },
  { name: 'a pause that is no number of seconds', fields: 'retry-after: soon\r\n', milliseconds: USUAL_MILLISECONDS },
  { name: 'a date', fields: 'retry-after: Sun, 06 Dec 2026 00:00:00 GMT\r\n', milliseconds: USUAL_MILLISECONDS },
  { name: 'a mark that it leaves, which this form reads from announcements only', fields: 'server-leaving: 1\r\n', milliseconds: USUAL_MILLISECONDS }
]

for (const { name, fields, milliseconds } of pauses) {
  // Guards against an owner that sends requests to an upstream that asked for a pause, or that keeps away from one that did not.
  test(`an owner whose upstream sheds a request with ${name} keeps away for ${milliseconds} ms`, async (context) => {
    const { reason, pauseMilliseconds } = await measurePause(context, `${SHED}${fields}`)
    assert.equal(reason, RefusalReason.Shed)
    assert.ok(Math.abs(pauseMilliseconds - milliseconds) <= 50, `${pauseMilliseconds} ms`)
  })
}

test('a pause in an answer that is no refusal of load is meant for the guest', async (context) => {
  const { reason, pauseMilliseconds } = await measurePause(context, '200 OK\r\nretry-after: 6\r\n')
  assert.equal(reason, undefined)
  assert.equal(pauseMilliseconds, 0)
})
