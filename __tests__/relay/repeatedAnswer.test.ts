import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { Owner } from '../../src/relay/Owner.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const REQUEST_COUNT = 5
const RUN_MILLISECONDS = 30
const DEADLINE_MILLISECONDS = 2_000
const REFUSAL = 'HTTP/1.1 503 Full\r\nhibiscusrelay-shed: not-run\r\nContent-Length: 0\r\n\r\n'

/** Sends requests one after another through an owner whose only upstream answers with the given bytes. */
async function sendAll (context: TestContext, respond: (socket: Socket, id: string, number: number) => void): Promise<Outcome[]> {
  const server = await openRawServer((socket, head, number) => { respond(socket, /hibiscusrelay-request: (\S+)/i.exec(head)?.[1] ?? '', number) })
  const pools = new PoolRegistry({ queueLength: 100, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address: server.address, slots: 1, connections: 1, echoesRequest: true }))
  upstream.extendGrant(performance.now() + 60_000)
  pools.ensure('inventario').upstreams.set(upstream.address, upstream)
  const owner = new Owner({
    pools, poison: new PoisonGuard(), retryBudget: () => new RetryBudget(0), onBroken: async () => {}, isAlive: async () => false, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: 65_536, counters: new Counters(), log: silentLog
  })
  context.after(async () => {
    await upstream.close()
    await server.close()
  })
  const outcomes: Outcome[] = []
  for (let number = 1; number <= REQUEST_COUNT; number += 1) {
    const id = `r-${number}`
    const answer = await owner.serve({ ...createRelayedRequest(id, DEADLINE_MILLISECONDS), id, requestClass: RequestClass.OneTime })
    if (answer.outcome === Outcome.Ran) assert.equal(String(answer.body), id)
    outcomes.push(answer.outcome)
  }
  return outcomes
}

function composeAnswer (id: string): string {
  return `HTTP/1.1 200 OK\r\nhibiscusrelay-request: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`
}

test('an answer that is written once more reaches no later request, and spoils only the request that met it', async (context) => {
  const outcomes = await sendAll(context, (socket, id, number) => {
    if (number === 2) socket.write(composeAnswer('r-1'))
    setTimeout(() => { if (socket.writable) socket.write(composeAnswer(id)) }, RUN_MILLISECONDS)
  })
  assert.deepEqual(outcomes, [Outcome.Ran, Outcome.Unknown, Outcome.Ran, Outcome.Ran, Outcome.Ran])
})

test('a refusal that is written once more is not taken for one of the next request, which runs', async (context) => {
  const refusedSockets = new Set<Socket>()
  const outcomes = await sendAll(context, (socket, id, number) => {
    if (number === 1) {
      refusedSockets.add(socket)
      socket.write(REFUSAL)
      return
    }
    if (refusedSockets.delete(socket)) socket.write(REFUSAL)
    setTimeout(() => { if (socket.writable) socket.write(composeAnswer(id)) }, RUN_MILLISECONDS)
  })
  assert.deepEqual(outcomes.slice(1), [Outcome.Ran, Outcome.Ran, Outcome.Ran, Outcome.Ran])
})
