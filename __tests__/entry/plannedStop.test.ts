import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { createPlan, createRoute } from '../plan/createPlan.js'
import { openRawServer, type RawServer } from '../support/openRawServer.js'
import { openEntryHost, type EntryHostFixture } from './openEntryHost.js'

/** Each test file runs in a process of its own, and so has an address of its own. */
const HOST = `127.80.${process.pid >> 8 & 255}.${process.pid & 255}`
const PORT = 7_000
const STOP_MILLISECONDS = 3_000
const RUN_MILLISECONDS = 700
const DEADLINE_MILLISECONDS = 30_000
/** A refusal needs no upstream, so it comes at once; the allowance is for a busy machine. */
const PROMPT_MILLISECONDS = 400

/** What a guest saw of one request. */
interface Observation {
  /** Status of its answer, undefined when the connection closed without one. */
  status: number | undefined
  headers: string
  /** When the answer came, in milliseconds after the signal to stop. */
  answeredAt: number
}

/** An entry host with one upstream that takes the same time for each request. */
interface Fixture extends EntryHostFixture {
  upstream: RawServer
}

async function openFixture (context: TestContext, route: Partial<PlanRoute>, { slots = 100, stopMilliseconds = () => STOP_MILLISECONDS }: { slots?: number, stopMilliseconds?: () => number } = {}): Promise<Fixture> {
  const upstream = await openRawServer((socket, head) => { setTimeout(() => { answer(socket, head) }, RUN_MILLISECONDS) })
  context.after(() => upstream.close())
  const plan = createPlan(1, [createRoute({ requestClass: RequestClass.OneTime, ...route })])
  const fixture = await openEntryHost(context, { guestAddress: `${HOST}:${PORT}`, upstreamAddress: upstream.address, plan, slots, stopMilliseconds })
  return { ...fixture, upstream }
}

function answer (socket: Socket, head: string): void {
  const id = /attempt-id: (\S+)/i.exec(head)?.[1] ?? ''
  socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nresponse-signature: s\r\ncontent-length: 4\r\n\r\ndone`)
}

function composePost (id: string): string {
  return `POST /lookups/1 HTTP/1.1\r\nhost: stock.example\r\nattempt-id: ${id}\r\ndeadline-ms: ${DEADLINE_MILLISECONDS}\r\ncontent-length: 4\r\n\r\nbody`
}

/** Sends the parts of a request, each at its time after the signal, and waits for the answer or the end of the connection. */
async function sendParts (parts: Array<{ text: string, at: number }>, signalAt: number): Promise<Observation> {
  const socket = connect({ host: HOST, port: PORT })
  let text = ''
  let answeredAt = 0
  socket.on('data', (chunk) => {
    text += chunk.toString()
    answeredAt ||= performance.now() - signalAt
  })
  socket.on('error', () => {})
  const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
  for (const part of parts) {
    await sleep(Math.max(0, signalAt + part.at - performance.now()))
    if (socket.writable) socket.write(part.text)
  }
  await Promise.race([closed, sleep(DEADLINE_MILLISECONDS, undefined, { ref: false })])
  const status = /^HTTP\/1.1 (\d+) /.exec(text)?.[1]
  return { status: status === undefined ? undefined : Number(status), headers: text.split('\r\n\r\n')[0]!, answeredAt }
}

/** @returns a request that becomes whole at a time after the signal, and begins a little before it */
function split (text: string, index: number, at: number, startedAt = at - 300): Array<{ text: string, at: number }> {
  return [{ text: '', at: -100 }, { text: text.slice(0, index), at: startedAt }, { text: text.slice(index), at }]
}

/** Requests that become whole at this time after the signal, in each way in which they can. */
function sendInEachWay (at: number, signalAt: number): Array<Promise<Observation>> {
  const post = composePost(`a-${at}`)
  return [
    sendParts([{ text: '', at: -100 }, { text: post, at }], signalAt),
    sendParts(split(post, 30, at), signalAt),
    sendParts(split(post, post.length - 1, at), signalAt)
  ]
}

const TIMES = [100, 400, 700, 1_000, 1_300, 1_500, 1_700, 2_000, 2_300]

test('a planned stop breaks off no run, whenever the request became whole', async (context) => {
  const { host, upstream } = await openFixture(context, { timeoutMilliseconds: 1_400 })
  const signalAt = performance.now() + 200
  const pending = TIMES.flatMap((at) => sendInEachWay(at, signalAt))
  await sleep(signalAt - performance.now())
  const stopped = host.stop()
  const observations = await Promise.all([...pending, ...sendInEachWay(0, signalAt)])
  assert.equal(await stopped, 0)
  assert.deepEqual(observations.filter(({ status }) => status !== 200 && status !== 503), [])
  const answeredCount = observations.filter(({ status }) => status === 200).length
  assert.ok(answeredCount >= 6, 'requests that can be answered in time are still served')
  assert.equal(upstream.received.length, answeredCount, 'a refused request reaches no upstream')
})

test('a request whose route may take longer than the rest of the stop is refused at once, and tells the guest to go elsewhere', async (context) => {
  const { host, upstream } = await openFixture(context, { timeoutMilliseconds: 8_000 })
  const signalAt = performance.now() + 200
  const pending = TIMES.flatMap((at) => sendInEachWay(at, signalAt).map(async (observation) => ({ at, ...await observation })))
  await sleep(signalAt - performance.now())
  const stopped = host.stop()
  for (const { at, status, headers, answeredAt } of await Promise.all(pending)) {
    assert.equal(status, 503)
    assert.match(headers, /^connection: close$/im)
    assert.match(headers, /^retry-after: 0\.\d+$/im)
    assert.match(headers, /^hibiscusrelay-reason: stopping$/im)
    assert.ok(answeredAt < at + PROMPT_MILLISECONDS, `whole at ${at}, refused at ${answeredAt}`)
  }
  assert.equal(await stopped, 0)
  assert.deepEqual(upstream.received, [])
})

test('a body that is still on its way when the stop begins is not waited for when the run could not end', async (context) => {
  const { host } = await openFixture(context, { timeoutMilliseconds: 8_000 })
  const post = composePost('a-1')
  const signalAt = performance.now() + 200
  const pending = sendParts(split(post, post.length - 1, STOP_MILLISECONDS + 500, -100), signalAt)
  await sleep(signalAt - performance.now())
  await host.stop()
  const { status, answeredAt } = await pending
  assert.equal(status, 503)
  assert.ok(answeredAt < PROMPT_MILLISECONDS, `refused at ${answeredAt}`)
})

test('requests in the admission queue are refused when the stop begins and their run could not end', async (context) => {
  const { host, upstream } = await openFixture(context, { timeoutMilliseconds: 8_000, targetLatencyMilliseconds: 6_000 }, { slots: 1 })
  const signalAt = performance.now() + 300
  const pending = Array.from({ length: 4 }, (_, number) => sendParts([{ text: composePost(`a-${number}`), at: -200 }], signalAt))
  await sleep(signalAt - performance.now())
  const stopped = host.stop()
  const observations = await Promise.all(pending)
  assert.equal(await stopped, 0)
  const refused = observations.filter(({ status }) => status === 503)
  assert.equal(observations.length - refused.length, upstream.received.length)
  assert.ok(refused.length > 0 && refused.every(({ answeredAt }) => answeredAt < PROMPT_MILLISECONDS))
})

test('neither a longer timeout nor another stop time that come during the stop let a run begin that cannot end', async (context) => {
  let stopMilliseconds = STOP_MILLISECONDS
  const { host, setPlan, upstream } = await openFixture(context, { timeoutMilliseconds: 1_000 }, { stopMilliseconds: () => stopMilliseconds })
  const signalAt = performance.now() + 200
  const pending = [800, 1_200, 2_000].flatMap((at) => sendInEachWay(at, signalAt))
  await sleep(signalAt - performance.now())
  const stopped = host.stop()
  stopMilliseconds = 10 * STOP_MILLISECONDS
  setPlan(createPlan(2, [createRoute({ requestClass: RequestClass.OneTime, timeoutMilliseconds: 8_000 })]))
  assert.ok((await Promise.all(pending)).every(({ status }) => status === 503))
  assert.equal(await stopped, 0)
  assert.deepEqual(upstream.received, [])
})

test('the answer to a request in flight at the signal asks the guest to leave its connection', async (context) => {
  const { host } = await openFixture(context, { timeoutMilliseconds: 1_400 })
  const signalAt = performance.now() + 300
  const pending = sendParts([{ text: composePost('a-1'), at: -200 }], signalAt)
  await sleep(signalAt - performance.now())
  await host.stop()
  const { status, headers } = await pending
  assert.equal(status, 200)
  assert.match(headers, /^connection: close$/im)
})

test('a second order to stop changes nothing', async (context) => {
  const { host } = await openFixture(context, { timeoutMilliseconds: 1_400 })
  const signalAt = performance.now() + 300
  const pending = sendParts([{ text: composePost('a-1'), at: -100 }], signalAt)
  await sleep(signalAt - performance.now())
  const stops = [host.stop(), sleep(300).then(() => host.stop())]
  assert.deepEqual(await Promise.all(stops), [0, 0])
  assert.equal((await pending).status, 200)
})

test('a stop time that is shorter than the time for new connections is kept', async (context) => {
  const stopMilliseconds = 800
  const { host } = await openFixture(context, { timeoutMilliseconds: 1_400 }, { stopMilliseconds: () => stopMilliseconds })
  const startedAt = performance.now()
  await host.stop()
  assert.ok(performance.now() - startedAt < stopMilliseconds, `${performance.now() - startedAt} ms`)
})
