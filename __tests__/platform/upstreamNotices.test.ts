import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'

const ENTRY_HOSTS = 3
const UPSTREAMS = 6
const SLOTS = 8
const REQUEST_INTERVAL_MILLISECONDS = 25
/** The shortest time in the users' deployments after which a leaving upstream must get no more requests. */
const DRAIN_MILLISECONDS = 2_000
const PAUSE_SECONDS = 3
/** Time after a refusal from which the users count requests at an upstream that asked for a pause, and the number that they allow for each host. */
const COUNTED_FROM_MILLISECONDS = 500
const MAXIMUM_REQUESTS_IN_PAUSE = 2

/** An upstream that announces itself as ready, whatever its answers say. */
class NoticingUpstream {
  /** Times of the requests of each entry host, by its number, which the number of the request gives. */
  readonly arrivalsByHost = new Map<number, number[]>()
  /** Fields of all answers. */
  fields: Record<string, string> = {}
  isRefusing = false
  readonly #id: string
  readonly #server: Server
  #sequence = 0

  constructor (id: string) {
    this.#id = id
    this.#server = createServer((request, response) => {
      const host = Number(/\d+$/.exec(request.url ?? '')?.[0]) % ENTRY_HOSTS
      this.arrivalsByHost.set(host, [...this.arrivalsByHost.get(host) ?? [], performance.now()])
      const attempt = String(request.headers['attempt-id'])
      const load = { 'attempt-id': attempt, 'server-load': `1,0,${SLOTS}`, ...this.fields }
      if (this.isRefusing) response.writeHead(503, { ...load, 'not-executed': '1' }).end()
      else setTimeout(() => { response.writeHead(200, { ...load, 'response-signature': 's' }).end('whole') }, 20)
    })
  }

  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
  }

  close (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async announce (controlAddress: string): Promise<void> {
    const { port } = this.#server.address() as AddressInfo
    await sendPost(controlAddress, `/instances/${this.#id}/heartbeat`, JSON.stringify({ service: 'inventario', address: `127.0.0.1:${port}`, zone: 'oviedo', version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_s: 0, sequence: ++this.#sequence, born: 1_000 }))
  }

  /** @returns number of requests of each host between two times after its first one */
  countAfterFirst (fromMilliseconds: number, toMilliseconds: number): number[] {
    return [...this.arrivalsByHost.values()].map(([first, ...later]) => later.filter((time) => time - first! > fromMilliseconds && time - first! < toMilliseconds).length)
  }
}

let network: ReservedNetwork
let system: PlatformSystem
let announcing: NodeJS.Timeout
const upstreams = Array.from({ length: UPSTREAMS }, (_, number) => new NoticingUpstream(`i-${number}`))

before(async () => {
  network = await reserveNetwork()
  system = new PlatformSystem(network.number, ENTRY_HOSTS)
  system.start()
  await Promise.all(upstreams.map((upstream) => upstream.open()))
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', composePlan('00000002', '00000000')) === 200)
  const announceAll = async (): Promise<void> => { await Promise.all(upstreams.map((upstream) => upstream.announce(system.getControlAddress(1)))) }
  await announceAll()
  announcing = setInterval(() => { announceAll().catch(() => {}) }, 1_500)
  for (let host = 0; host < ENTRY_HOSTS; host += 1) await waitUntil(async () => (await sendGuestRequest(system.getGuestAddress(host), '/lookups/0', `first-${host}`)).status === 200)
})

after(async () => {
  clearInterval(announcing)
  for (const upstream of upstreams) upstream.close()
  await system.stop()
  network.release()
})

/** Sends requests through all entry hosts for a time; returns how many were served, and how many were sent. */
async function sendLoad (name: string, milliseconds: number): Promise<{ served: number, sent: number }> {
  const answers: Array<Promise<boolean>> = []
  const deadline = performance.now() + milliseconds
  for (let number = 0; performance.now() < deadline; number += 1) {
    answers.push(sendGuestRequest(system.getGuestAddress(number % ENTRY_HOSTS), `/lookups/${name}-${number}`, `${name}-${number}`).then(({ status }) => status === 200, () => false))
    await sleep(REQUEST_INTERVAL_MILLISECONDS)
  }
  const results = await Promise.all(answers)
  return { served: results.filter(Boolean).length, sent: results.length }
}

// Guards against requests at an upstream that says in its answers that it leaves, while its announcements say that it is ready.
test('an upstream whose answers say that it leaves gets no request after the time for a drain', { timeout: 60_000 }, async (context) => {
  const leaving = upstreams[0]!
  leaving.arrivalsByHost.clear()
  leaving.fields = { 'server-leaving': '1' }
  const { served, sent } = await sendLoad('leaving', 6_000)
  const late = leaving.countAfterFirst(DRAIN_MILLISECONDS, Number.POSITIVE_INFINITY)
  context.diagnostic(`late by host: ${late.join(', ')}; ${served} of ${sent} served`)
  assert.ok(late.length > 0)
  assert.deepEqual(late, late.map(() => 0))
  assert.equal(served, sent)
})

// Guards against requests at an upstream that asked for a pause with its refusal.
test('an upstream that asks for a pause gets no more than two requests of a host before its end, and is used again after it', { timeout: 60_000 }, async (context) => {
  const paused = upstreams[1]!
  paused.arrivalsByHost.clear()
  paused.fields = { 'retry-after': String(PAUSE_SECONDS) }
  paused.isRefusing = true
  const { served, sent } = await sendLoad('paused', 1_000 * PAUSE_SECONDS)
  const during = paused.countAfterFirst(COUNTED_FROM_MILLISECONDS, 1_000 * PAUSE_SECONDS)
  context.diagnostic(`in the pause by host: ${during.join(', ')}; ${served} of ${sent} served`)
  assert.ok(during.length > 0)
  assert.ok(during.every((count) => count <= MAXIMUM_REQUESTS_IN_PAUSE))
  assert.equal(served, sent)
  paused.isRefusing = false
  paused.fields = {}
  paused.arrivalsByHost.clear()
  await sendLoad('returned', 4_000)
  assert.equal(paused.arrivalsByHost.size > 0, true, 'it is used again')
})

test('what an upstream says of itself is read from its headers, and a pause only from a refusal for load', () => {
  const read = (status: number, fields: Array<[string, string]>) => upstreamProtocol.readNotice({ status, headers: fields.map(([name, value]) => ({ name, value })) })
  assert.deepEqual(read(200, []), { isLeaving: false, retryAfter: [] })
  assert.deepEqual(read(200, [['server-leaving', '1'], ['retry-after', '6']]), { isLeaving: true, retryAfter: [] })
  assert.deepEqual(read(200, [['server-leaving', '0']]), { isLeaving: false, retryAfter: [] })
  assert.deepEqual(read(500, [['server-leaving', ' 1 ']]), { isLeaving: true, retryAfter: [] })
  assert.deepEqual(read(503, [['retry-after', '6'], ['retry-after', 'soon']]), { isLeaving: false, retryAfter: ['6', 'soon'] })
})
