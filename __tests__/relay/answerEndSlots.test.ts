import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { END_CONFIRMED_COUNTER } from '../../src/observe/declareCounters.js'
import { Owner } from '../../src/relay/Owner.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { Outcome } from '../../src/types/Outcome.js'
import { pause } from '../../src/utils/pause.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const REQUEST_COUNT = 5
const DEADLINE_MILLISECONDS = 5_000
const POLL_MILLISECONDS = 10

// Guards against requests that wait, or are refused, because the ends of earlier answers are being confirmed: the upstream is idle meanwhile.
test('an owner gives the slot of an answer back while its end is being confirmed, and once only', async (context) => {
  const server = await openRawServer((socket, head) => {
    socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\nhibiscusrelay-request: ${/hibiscusrelay-request: (\S+)/i.exec(head)?.[1] ?? ''}\r\n\r\ndone`)
  })
  const pools = new PoolRegistry({ queueLength: 100, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address: server.address, slots: 1, connections: 1, echoesRequest: true }))
  upstream.extendGrant(performance.now() + 60_000)
  pools.ensure('inventario').upstreams.set(upstream.address, upstream)
  const deadline = performance.now() + DEADLINE_MILLISECONDS
  const isAlive = async (): Promise<boolean> => {
    while (server.received.length < REQUEST_COUNT && performance.now() < deadline) await pause(POLL_MILLISECONDS)
    return true
  }
  const counters = new Counters()
  const owner = new Owner({ pools, poison: new PoisonGuard(), retryBudget: () => new RetryBudget(0), onBroken: async () => {}, isAlive, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: 65_536, counters, log: silentLog })
  context.after(async () => {
    await upstream.close()
    await server.close()
  })
  const answers = await Promise.all(Array.from({ length: REQUEST_COUNT }, async (_, number) => await owner.serve({ ...createRelayedRequest(`f-${number}`, DEADLINE_MILLISECONDS), id: `r-${number}` })))
  assert.deepEqual(answers.map(({ outcome }) => outcome), Array.from({ length: REQUEST_COUNT }, () => Outcome.Ran))
  assert.equal(counters.read(END_CONFIRMED_COUNTER), REQUEST_COUNT)
  assert.equal(upstream.running, 0)
})
