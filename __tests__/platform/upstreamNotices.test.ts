import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { after, before, test } from 'node:test'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { collectTrace } from '../../src/cli/trace/collectTrace.js'
import { parseLogLine, type LogLine } from '../../src/cli/trace/LogLine.js'
import { upstreamProtocol } from '../../platform/wire/upstreamProtocol.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'
import { NoticingUpstream } from './NoticingUpstream.js'
import { sendLoad, type LoadResult } from './sendLoad.js'

const ENTRY_HOSTS = 3
const CONTROL_HOSTS = 3
const UPSTREAMS = 6
const REQUEST_INTERVAL_MILLISECONDS = 25
/** The shortest time in the users' deployments after which a leaving upstream must get no more requests. */
const DRAIN_MILLISECONDS = 2_000
const PAUSE_SECONDS = 3
/** Time after a refusal from which the users count requests at an upstream that asked for a pause, and the number that they allow for each host. */
const COUNTED_FROM_MILLISECONDS = 500
const MAXIMUM_REQUESTS_IN_PAUSE = 2

let network: ReservedNetwork
let system: PlatformSystem
let announcing: NodeJS.Timeout
const upstreams = Array.from({ length: UPSTREAMS }, (_, number) => new NoticingUpstream({ id: `i-${number}`, entryHosts: ENTRY_HOSTS }))

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

async function load (name: string, milliseconds: number): Promise<LoadResult> {
  return await sendLoad({ system, entryHosts: ENTRY_HOSTS, name, intervalMilliseconds: REQUEST_INTERVAL_MILLISECONDS, milliseconds })
}

// Guards against requests at an upstream that says in its answers that it leaves, while its announcements say that it is ready.
test('an upstream whose answers say that it leaves gets no request after the time for a drain', { timeout: 60_000 }, async (context) => {
  const leaving = upstreams[0]!
  leaving.arrivalsByHost.clear()
  leaving.fields = { 'server-leaving': '1' }
  const { served, sent } = await load('leaving', 6_000)
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
  const { served, sent } = await load('paused', 1_000 * PAUSE_SECONDS)
  const during = paused.countAfterFirst(COUNTED_FROM_MILLISECONDS, 1_000 * PAUSE_SECONDS)
  context.diagnostic(`in the pause by host: ${during.join(', ')}; ${served} of ${sent} served`)
  assert.ok(during.length > 0)
  assert.ok(during.every((count) => count <= MAXIMUM_REQUESTS_IN_PAUSE))
  assert.equal(served, sent)
  paused.isRefusing = false
  paused.fields = {}
  paused.arrivalsByHost.clear()
  await load('returned', 4_000)
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

/** @returns the lines of all entry hosts' logs */
function readLogs (): LogLine[] {
  return Array.from({ length: ENTRY_HOSTS }, (_, host) => readFileSync(system.getLogFile(CONTROL_HOSTS + host), 'utf8').split('\n'))
    .flat().map(parseLogLine).filter((line) => line !== undefined)
}

test('the trace of a request that was moved lists the notice of its upstream, and so does that of the next request of its host', () => {
  const lines = readLogs()
  for (const event of ['upstream-leaving', 'upstream-paused']) {
    const notice = lines.find((line) => line.event === event)!
    const moved = collectTrace(lines, notice.fields.get('request')!)
    assert.ok(moved.requestLines.some((line) => line.event === event && line.fields.get('upstream') === notice.fields.get('upstream')), event)
    const next = lines.find((line) => line.event === 'request-answered' && line.host === notice.host && line.time > notice.time)!
    const { contextLines } = collectTrace(lines, next.fields.get('request')!)
    assert.ok(contextLines.some((line) => line.event === event && line.host === notice.host), `${event} as context`)
  }
  const paused = lines.find((line) => line.event === 'upstream-paused')!
  const tried = collectTrace(lines, paused.fields.get('request')!).requestLines.find(({ event }) => event === 'request-answered')?.fields.get('tried')?.split(',')
  assert.equal(tried?.length, 2, 'it was moved')
  assert.equal(tried?.[0], paused.fields.get('upstream'))
})
