import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { makeRandom } from '../membership/StandInHosts.js'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'
import { KeptGuest, UNFRAMED_BYTES } from './KeptGuest.js'

const GUESTS = 40
const STOPS = 2
/** Number of the entry host among the processes. */
const ENTRY_PROCESS = 3
const TEST_TIMEOUT_MILLISECONDS = 120_000
/** Seeds of the runs, separated by commas. */
const SEEDS = (process.env.STOP_LOOP_SEEDS ?? '1').split(',').map(Number)

async function openUpstream (random: () => number, received: Set<string>): Promise<{ port: number, close: () => void }> {
  const server = createServer((request, response) => {
    const id = String(request.headers['attempt-id'])
    received.add(id)
    request.resume().once('end', () => {
      const kind = random()
      setTimeout(() => {
        response.setHeader('attempt-id', id).setHeader('response-signature', 's')
        if (kind < 0.1) {
          response.useChunkedEncodingByDefault = false
          response.shouldKeepAlive = false
          response.write('x'.repeat(UNFRAMED_BYTES))
          response.end()
        } else if (kind < 0.2) {
          for (let part = 0; part < 4; part += 1) response.write('x'.repeat(262_144))
          response.end()
        } else response.end('x'.repeat(1 + Math.floor(random() * 4_000)))
      }, 20 + random() * 380)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { port: (server.address() as AddressInfo).port, close: () => { server.closeAllConnections(); server.close() } }
}

function composeBothRoutes (): string {
  const plan = JSON.parse(composePlan('00000002', '00000000'))
  plan.routes.rows.push(['orders', 'stock.example', '/orders/', 'non_idempotent', ...plan.routes.rows[0].slice(4)])
  return JSON.stringify(plan)
}

async function stopEntryHost (system: PlatformSystem, random: () => number): Promise<void> {
  const entry = system.getProcess(ENTRY_PROCESS)
  if (random() < 0.5) entry.kill('SIGHUP')
  entry.kill('SIGTERM')
  if (random() < 0.5) setTimeout(() => { entry.kill('SIGTERM') }, random() * 1_500)
  if (entry.exitCode === null) await once(entry, 'exit')
  assert.equal(entry.exitCode, 0)
  system.startEntryHost(0)
}

for (const seed of SEEDS) {
  // Guards against a planned stop that takes the answer of a request that runs.
  test(`planned stops leave no request that reached an upstream without its answer (seed ${seed})`, { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
    const random = makeRandom(seed)
    const received = new Set<string>()
    const network = await reserveNetwork()
    const system = new PlatformSystem(network.number)
    const upstream = await openUpstream(random, received)
    let sequence = 0
    const announce = (): Promise<number> => sendPost(system.getControlAddress(0), '/instances/i-1/heartbeat', JSON.stringify({ service: 'inventario', address: `127.0.0.1:${upstream.port}`, zone: 'oviedo', version: 'v1', slots: 100, state: 'ready', cold_remaining_s: 0, sequence: ++sequence, born: 1_000 }))
    const announcing = setInterval(() => { announce().catch(() => {}) }, 1_000)
    context.after(async () => {
      clearInterval(announcing)
      upstream.close()
      await system.stop()
      network.release()
    })
    system.start()
    await waitUntil(async () => await sendPost(system.getControlAddress(0), '/config/replace', composeBothRoutes()) === 200)
    await waitUntil(async () => await announce() === 200)
    const guests = Array.from({ length: GUESTS }, (_, number) => new KeptGuest({ name: `g${number}`, address: system.guestAddress, random, isSlow: number % 8 === 0 }))
    const runs = guests.map((guest) => guest.run())
    for (let stop = 0; stop < STOPS; stop += 1) {
      await waitUntil(async () => (await fetch(`http://${system.readinessAddress}/readiness`)).status === 200)
      await sleep(1_500)
      await stopEntryHost(system, random)
    }
    for (const guest of guests) guest.end()
    await Promise.race([Promise.all(runs), sleep(8_000, undefined, { ref: false })])
    const lost = guests.flatMap((guest) => guest.lost)
    const statuses: Record<string, number> = {}
    for (const guest of guests) for (const [status, count] of guest.answeredByStatus) statuses[status] = (statuses[status] ?? 0) + count
    context.diagnostic(`answers ${JSON.stringify(statuses)}, crossed the close ${lost.filter(({ id }) => !received.has(id)).length}`)
    assert.ok((statuses['200'] ?? 0) > GUESTS, 'guests are served')
    const unexcused = lost.filter(({ id, receivedBytes }) => received.has(id) || receivedBytes > 0)
    assert.deepEqual(unexcused.map(({ id, receivedBytes, end, sentAt, endedAt }) => `${id}: ${receivedBytes} bytes, ${end}, ${Math.round(sentAt)} to ${Math.round(endedAt)} ms, ran ${received.has(id)}`), [])
  })
}
