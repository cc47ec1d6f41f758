// Measures the processor time of each stage that a request passes. All ends run in this process, one request after another.
// Processor time is less affected by other work on the machine than elapsed time.
// node build/__performance_tests__/relay/hopCost.js
import { createServer } from 'node:http'
import { Pool } from 'undici'
import { createAnnouncement, silentLog } from '../../__tests__/support/createAnnouncement.js'
import {
  Counters, forwardToOwner, HttpListener, Owner, PeerClient, PeerConnections, PeerMethod, PeerServer, PeerSignature, PoisonGuard, PoolRegistry, RetryBudget, serveForwarded,
  type RelayedRequest
} from '../../src/hibiscusrelay.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { exchange } from '../../src/relay/exchange.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { RequestClass } from '../../src/types/RequestClass.js'

const PEER_ADDRESS = '127.77.0.1:17462'
const UPSTREAM_PORT = 17463
const UPSTREAM_ADDRESS = `127.77.0.2:${UPSTREAM_PORT}`
const WARM_UP_REQUESTS = 1_500
const MEASURED_REQUESTS = 4_000
const ROUNDS = 5
const GRANT_MILLISECONDS = 3_600_000
const DEADLINE_MILLISECONDS = 2_000
const SLOW_START_MILLISECONDS = 1_000
const BODY = Buffer.alloc(200, '.')

const signature = new PeerSignature('k'.repeat(40))
const counters = new Counters()
const poison = new PoisonGuard()
const pools = new PoolRegistry({ queueLength: 100, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
const owner = new Owner({ pools, poison, retryBudget: () => new RetryBudget(10), onBroken: async () => {}, isAlive: async () => false, beginSuspect: async () => () => {}, onCleared: () => {}, answerBufferBytes: 65_536, counters, log: silentLog })
const peerServer = new PeerServer(signature, counters)
peerServer.register(PeerMethod.Probe, (parameters: object) => parameters)
peerServer.registerRelay(async (head, body, message, response) => {
  await serveForwarded({ owner, poison, stopWindow: new StopWindow(), spendLink: () => true, encodedHead: head, body }, message, response)
})
const peerListener = new HttpListener({ address: PEER_ADDRESS, headerBytes: 131_072, handle: async (message, response) => { await peerServer.handle(message, response) }, onMalformed: () => '' })
const upstreamServer = createServer((message, response) => {
  message.resume()
  response.writeHead(200, { 'hibiscusrelay-request': message.headers['hibiscusrelay-request'] ?? '' }).end('done')
})
const peerConnections = new PeerConnections((address) => address)
const peerClient = new PeerClient(signature, (address) => address)
const directPool = new Pool(`http://${UPSTREAM_ADDRESS}`, { connections: 4, pipelining: 1 })

await peerListener.open()
await new Promise<void>((resolve) => { upstreamServer.listen(UPSTREAM_PORT, '127.77.0.2', resolve) })
const upstream = new Upstream(createAnnouncement({ address: UPSTREAM_ADDRESS }))
upstream.extendGrant(performance.now() + GRANT_MILLISECONDS)
pools.ensure('inventario').upstreams.set(upstream.address, upstream)
await new Promise((resolve) => { setTimeout(resolve, SLOW_START_MILLISECONDS) })

const stages: Array<[string, () => Promise<unknown>]> = [
  ['straight exchange with the upstream', sendDirectly],
  ['at the owner, upstream included', async () => await owner.serve(createRequest())],
  ['through another host, upstream included', forwardThroughPeer],
  ['one call of another host', async () => await peerClient.call(PEER_ADDRESS, PeerMethod.Probe, { text: 'x'.repeat(200) }, DEADLINE_MILLISECONDS)]
]
for (const [, run] of stages) await measureProcessorMicroseconds(run, WARM_UP_REQUESTS)
for (const [name, run] of stages) {
  const figures: number[] = []
  for (let round = 0; round < ROUNDS; round += 1) figures.push(await measureProcessorMicroseconds(run, MEASURED_REQUESTS))
  console.log(`${name}: ${figures.map((figure) => figure.toFixed(0)).join(', ')} µs, least ${Math.min(...figures).toFixed(0)}`)
}
await peerClient.close()
await peerConnections.close()
await directPool.destroy()
await upstream.connections.destroy()
upstreamServer.closeAllConnections()
upstreamServer.close()
await peerListener.closeWithin(0)
peerListener.destroy()

/** @returns mean processor time of one run, in microseconds */
async function measureProcessorMicroseconds (run: () => Promise<unknown>, times: number): Promise<number> {
  const usageBefore = process.cpuUsage()
  for (let count = 0; count < times; count += 1) await run()
  const used = process.cpuUsage(usageBefore)
  return (used.user + used.system) / times
}

function createRequest (): RelayedRequest {
  return {
    id: 'f47ac10b-58cc-4372-a567-0e02b2c3d479',
    service: 'inventario',
    method: 'POST',
    path: '/load?token=1',
    headers: [{ name: 'content-type', value: 'application/json' }, { name: 'accept', value: '*/*' }],
    body: BODY,
    requestClass: RequestClass.Idempotent,
    key: undefined,
    deadline: performance.now() + DEADLINE_MILLISECONDS,
    fingerprint: 'f'.repeat(64),
    mayWait: true,
    mayStart: () => true,
    cancelled: new AbortController().signal
  }
}

async function sendDirectly (): Promise<void> {
  const { method, path, headers, body, deadline, cancelled } = createRequest()
  await exchange(directPool, { peer: UPSTREAM_ADDRESS, method, path, headers, body, deadline, cancelled, answerBufferBytes: 65_536, closeConnection: false, mayWrite: () => true })
}

async function forwardThroughPeer (): Promise<void> {
  const answer = await forwardToOwner(createRequest(), {
    address: PEER_ADDRESS,
    poison,
    gone: new AbortController().signal,
    takeRetry: () => true,
    fromRegion: 'asturias',
    trySpend: () => true,
    connections: peerConnections.to(PEER_ADDRESS),
    signature,
    answerBufferBytes: 65_536
  })
  if (answer.outcome !== 'ran') throw new Error(`the owner did not run the request: ${answer.reason}`)
}
