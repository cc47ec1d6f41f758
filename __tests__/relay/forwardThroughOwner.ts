import type { TestContext } from 'node:test'
import { Counters } from '../../src/observe/Counters.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { forwardToOwner } from '../../src/relay/forwardToOwner.js'
import { Owner, type OwnerOptions } from '../../src/relay/Owner.js'
import { PeerConnections } from '../../src/relay/PeerConnections.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { serveForwarded } from '../../src/relay/serveForwarded.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { HttpListener } from '../../src/transport/HttpListener.js'
import { PeerServer } from '../../src/transport/PeerServer.js'
import { PeerSignature } from '../../src/transport/PeerSignature.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'
import { openRawServer } from '../support/openRawServer.js'
import { createRelayedRequest } from './createRelayedRequest.js'

const OWNER_ADDRESS = `127.82.${process.pid >> 8 & 255}.${process.pid & 255}:7000`
/** Time until the deadline of the forwarded request. */
export const DEADLINE_MILLISECONDS = 2_000
const BUFFER_BYTES = 16

/** What came of a request that was forwarded to an owner. */
export interface ForwardResult {
  answer: RelayAnswer
  /** Number of requests that reached the owner's upstream. */
  runs: number
}

/** What differs from the default. */
export interface ForwardOptions {
  /** Stop window of the owner. */
  stopWindow?: StopWindow
  /** How the owner finds out whether the upstream is alive; by default it never is. */
  isAlive?: OwnerOptions['isAlive']
  /** An upstream in another process, and the path to request there; `respond` is not called then. */
  upstream?: { address: string, path: string }
}

/**
 * Sends a request through two hosts to an upstream.
 *
 * @param respond - writes the upstream's answer
 * @param options - what differs from the default
 */
export async function forwardThroughOwner (context: TestContext, respond: Parameters<typeof openRawServer>[0], { stopWindow = new StopWindow(), isAlive = async () => false, upstream: otherUpstream }: ForwardOptions = {}): Promise<ForwardResult> {
  const server = await openRawServer(respond)
  const poison = new PoisonGuard()
  const pools = new PoolRegistry({ queueLength: 1, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address: otherUpstream?.address ?? server.address, echoesRequest: true }))
  upstream.extendGrant(performance.now() + 60_000)
  pools.ensure('inventario').upstreams.set(upstream.address, upstream)
  const owner = new Owner({ pools, poison, retryBudget: () => new RetryBudget(0), onBroken: async () => {}, isAlive, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: BUFFER_BYTES, counters: new Counters(), log: silentLog })
  const signature = new PeerSignature('k'.repeat(40))
  const peerServer = new PeerServer(signature, new Counters())
  peerServer.registerRelay(async (encodedHead, requestBody, message, response) => {
    await serveForwarded({ owner, poison, stopWindow, spendLink: () => true, encodedHead, body: requestBody }, message, response)
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
  const answer = await forwardToOwner({ ...createRelayedRequest('f', DEADLINE_MILLISECONDS), path: otherUpstream?.path ?? '/' }, {
    address: OWNER_ADDRESS, poison, gone: new AbortController().signal, takeRetry: () => false, fromRegion: 'asturias', trySpend: () => true, connections: connections.to(OWNER_ADDRESS), signature, answerBufferBytes: BUFFER_BYTES
  })
  return { answer, runs: server.received.length }
}
