import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import type { ClaimLedger } from '../../src/ledger/ClaimLedger.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { forwardToOwner } from '../../src/relay/forwardToOwner.js'
import { Owner } from '../../src/relay/Owner.js'
import { PeerConnections } from '../../src/relay/PeerConnections.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { serveForwarded } from '../../src/relay/serveForwarded.js'
import { storeAnswer } from '../../src/relay/storeAnswer.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { PeerServer } from '../../src/transport/PeerServer.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import { Outcome } from '../../src/types/Outcome.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const OWNER_ADDRESS = `127.82.${process.pid >> 8 & 255}.${process.pid & 255}:7000`
const DEADLINE_MILLISECONDS = 2_000
const BUFFER_BYTES = 16

/** Sends a request through two hosts to an upstream whose answer ends with its connection. */
async function forwardRequest (context: TestContext, body: string): Promise<RelayAnswer> {
  const server = await openRawServer((socket) => { socket.end(`HTTP/1.1 200 OK\r\nhibiscusrelay-request: r\r\nConnection: close\r\n\r\n${body}`) })
  const poison = new PoisonGuard()
  const pools = new PoolRegistry({ queueLength: 1, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address: server.address, echoesRequest: true }))
  upstream.extendGrant(performance.now() + 60_000)
  pools.ensure('inventario').upstreams.set(upstream.address, upstream)
  const owner = new Owner({ pools, poison, retryBudget: () => new RetryBudget(0), onBroken: async () => {}, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: BUFFER_BYTES, counters: new Counters(), log: silentLog })
  const signature = new PeerSignature('k'.repeat(40))
  const peerServer = new PeerServer(signature, new Counters())
  peerServer.registerRelay(async (encodedHead, requestBody, message, response) => {
    await serveForwarded({ owner, poison, stopWindow: new StopWindow(), spendLink: () => true, encodedHead, body: requestBody }, message, response)
  })
  const listener = new HttpListener({ address: OWNER_ADDRESS, headerBytes: 16_384, handle: (message, response) => peerServer.handle(message, response), onMalformed: () => '' })
  await listener.open()
  const connections = new PeerConnections((address) => address)
  context.after(async () => {
    await connections.close()
    await listener.closeWithin(0)
    listener.destroy()
    await upstream.close()
    await server.close()
  })
  return await forwardToOwner(createRelayedRequest('f', DEADLINE_MILLISECONDS), {
    address: OWNER_ADDRESS, poison, gone: new AbortController().signal, takeRetry: () => false, fromRegion: 'asturias', trySpend: () => true, connections: connections.to(OWNER_ADDRESS), signature, answerBufferBytes: BUFFER_BYTES
  })
}

for (const { name, body } of [{ name: 'a small answer', body: 'part' }, { name: 'a streamed answer', body: 'p'.repeat(100) }]) {
  test(`${name} that ends with the upstream's connection is marked so behind the hop between hosts`, async (context) => {
    const answer = await forwardRequest(context, body)
    assert.equal(answer.status, 200)
    assert.equal(answer.endsWithConnection, true)
  })
}

test('the answer to a one-time action whose end is not proved is not stored as the whole answer', async () => {
  const calls: string[] = []
  const ledger = { complete: async () => { calls.push('complete') }, markUnknown: async () => { calls.push('unknown') }, release: async () => { calls.push('release') } } as unknown as ClaimLedger
  const answer: RelayAnswer = { outcome: Outcome.Ran, reason: undefined, status: 200, headers: [], body: Buffer.from('part'), endsWithConnection: true, pool: undefined }
  await storeAnswer(ledger, 'k', answer, performance.now() + DEADLINE_MILLISECONDS)
  assert.deepEqual(calls, ['unknown'])
})
