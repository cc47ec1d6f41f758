import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { Counters } from '../../src/observe/Counters.js'
import { IDLE_CONNECTION_COUNTER } from '../../src/observe/declareCounters.js'
import { recordIdleFailure } from '../../src/observe/recordIdleFailure.js'
import { Owner } from '../../src/relay/Owner.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { Outcome } from '../../src/types/Outcome.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const RESETS: Record<string, (socket: Socket) => void> = {
  'while the request waits for it': (socket) => { socket.resetAndDestroy() },
  'right before the request is written': (socket) => { setImmediate(() => { socket.resetAndDestroy() }) }
}

for (const [moment, reset] of Object.entries(RESETS)) {
  // Guards against requests that an owner refuses or answers as unknown, and upstreams that it avoids, for a connection that ended before the write.
  test(`an owner runs a one-time request at the upstream that reset its idle connection ${moment}`, async (context) => {
    const sockets: Socket[] = []
    const server = await openRawServer((socket, head) => {
      sockets.push(socket)
      const id = /hibiscusrelay-request: (\S+)/i.exec(head)?.[1] ?? ''
      socket.write(`HTTP/1.1 200 OK\r\nhibiscusrelay-request: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`)
    })
    const counters = new Counters()
    const pools = new PoolRegistry({ queueLength: 100, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
    const upstream = new Upstream(createAnnouncement({ address: server.address, slots: 1, connections: 1, echoesRequest: true }), (cause) => { recordIdleFailure({ counters, log: silentLog }, server.address, cause) })
    upstream.extendGrant(performance.now() + 60_000)
    pools.ensure('inventario').upstreams.set(upstream.address, upstream)
    const owner = new Owner({
      pools, poison: new PoisonGuard(), retryBudget: () => new RetryBudget(0), onBroken: async () => { assert.fail('the upstream is blamed') }, isAlive: async () => true, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: 65_536, counters, log: silentLog
    })
    context.after(async () => {
      await upstream.close()
      await server.close()
    })
    const serve = async (id: string): Promise<RelayAnswer> => await owner.serve({ ...createRelayedRequest(id, 5_000), id, requestClass: RequestClass.OneTime })
    assert.equal((await serve('r-1')).outcome, Outcome.Ran)
    await sleep(10)
    const answer = await new Promise<RelayAnswer>((resolve, reject) => {
      setTimeout(() => {
        reset(sockets[0]!)
        serve('r-2').then(resolve, reject)
      })
    })
    assert.equal(answer.outcome, Outcome.Ran, answer.reason)
    assert.equal(String(answer.body), 'r-2')
    assert.equal(server.received.length, 2)
    assert.ok(upstream.freeSlots() > 0)
    if (moment.startsWith('while')) assert.equal(counters.read(IDLE_CONNECTION_COUNTER), 1)
  })
}
