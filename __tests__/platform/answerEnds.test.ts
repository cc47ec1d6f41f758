import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'
import { readWholeBody, receiveRaw, type RawAnswer } from '../support/receiveRaw.js'
import { UnframedUpstream } from '../support/UnframedUpstream.js'

const ENTRY_PROCESS = 3
const TEST_TIMEOUT_MILLISECONDS = 60_000
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500
const ROUTE_TIMEOUT_SECONDS = 3
/** Larger than what the host passes on without a length. */
const LARGE_BYTES = 400_000
const SMALL_BYTES = 1_000
/** The largest answer that a host passes on without a length. */
const LARGEST_BYTES = 32_768
const SLOW_GUESTS = 24

interface Fixture {
  system: PlatformSystem
  upstream: UnframedUpstream
  /** Sends a request as a guest that reads slowly; the callback is called once it has received something. */
  send: (path: string, deadlineMilliseconds: number, onBytes?: () => void) => Promise<RawAnswer>
}

async function openSystem (context: TestContext): Promise<Fixture> {
  const network = await reserveNetwork()
  const system = new PlatformSystem(network.number)
  const upstream = new UnframedUpstream()
  const address = await upstream.open()
  let sequence = 0
  const announce = async (): Promise<boolean> => {
    const body = { service: 'inventario', address, zone: 'oviedo', version: 'v1', slots: 8, state: 'ready', cold_remaining_s: 0, sequence: ++sequence, born: 1_000 }
    return await sendPost(system.getControlAddress(0), '/instances/i-1/heartbeat', JSON.stringify(body)) === 200
  }
  const timer = setInterval(() => { announce().catch(() => {}) }, ANNOUNCEMENT_INTERVAL_MILLISECONDS)
  context.after(async () => {
    clearInterval(timer)
    await upstream.kill()
    await system.stop()
    network.release()
  })
  system.start()
  const plan = JSON.parse(composePlan('00000002', '00000000')) as { routes: { rows: unknown[][] } }
  plan.routes.rows[0]![4] = ROUTE_TIMEOUT_SECONDS
  await waitUntil(async () => await sendPost(system.getControlAddress(0), '/config/replace', JSON.stringify(plan)) === 200)
  await waitUntil(announce)
  let attempts = 0
  const send: Fixture['send'] = async (path, deadlineMilliseconds, onBytes = () => {}) => {
    const request = `GET /lookups${path} HTTP/1.1\r\nhost: stock.example\r\nattempt-id: a-${++attempts}\r\ndeadline-ms: ${deadlineMilliseconds}\r\nconnection: close\r\n\r\n`
    let isCalled = false
    return await receiveRaw({
      address: system.guestAddress,
      request,
      readPauseMilliseconds: 2,
      onBytes: (bytes) => {
        if (isCalled || bytes < SMALL_BYTES) return
        isCalled = true
        onBytes()
      }
    })
  }
  await waitUntil(async () => readWholeBody(await send('/whole/1', 3_000)) === 'p')
  return { system, upstream, send }
}

/** Sends a request whose answer does not end, and cuts it after its beginning has arrived at the host. */
async function cutAnswer ({ send, upstream }: Fixture, bytes: number, cut: () => void): Promise<RawAnswer> {
  const pending = send(`/part/${bytes}`, 10_000)
  await waitUntil(async () => upstream.runs.some((run) => run.includes('/part/')))
  setTimeout(cut, 100)
  return await pending
}

test('a whole answer without a length of an upstream that lives on reaches the guest whole, and runs once', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { upstream, send } = await openSystem(context)
  for (const bytes of [SMALL_BYTES, LARGEST_BYTES]) {
    const path = `/whole/${bytes}`
    assert.equal(readWholeBody(await send(path, 5_000))?.length, bytes)
    assert.equal(upstream.runs.filter((run) => run === `/lookups${path}`).length, 1)
  }
})

test('a larger answer without a length is lost, and its request runs once', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { upstream, send } = await openSystem(context)
  const path = `/whole/${LARGE_BYTES}`
  const answer = await send(path, 5_000)
  assert.match(answer.text, /^HTTP\/1.1 502 [^]*hibiscusrelay-reason: answer-lost/)
  assert.equal(upstream.runs.filter((run) => run === `/lookups${path}`).length, 1)
})

// Guards against a part of an answer that looks whole at the guest, since the kernel ends the connections of a killed process in order.
for (const bytes of [SMALL_BYTES, LARGE_BYTES]) {
  test(`an answer without a length never looks whole when its host is killed in the middle of it (${bytes} bytes)`, { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
    const fixture = await openSystem(context)
    const answer = await cutAnswer(fixture, bytes, () => { fixture.system.getProcess(ENTRY_PROCESS).kill('SIGKILL') })
    assert.equal(readWholeBody(answer)?.length, undefined)
  })

  test(`an answer without a length never looks whole when its host stops in the middle of it (${bytes} bytes)`, { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
    const fixture = await openSystem(context)
    const entry = fixture.system.getProcess(ENTRY_PROCESS)
    const answer = await cutAnswer(fixture, bytes, () => { entry.kill('SIGTERM') })
    assert.equal(readWholeBody(answer)?.length, undefined)
    if (entry.exitCode === null) await once(entry, 'exit')
  })

  test(`an answer without a length never looks whole when the time-out of its route cuts it (${bytes} bytes)`, { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
    const fixture = await openSystem(context)
    assert.equal(readWholeBody(await cutAnswer(fixture, bytes, () => {}))?.length, undefined)
  })
}

// Guards against an answer that a host writes in parts: one that is killed must have passed on all of it or nothing.
test('guests that read slowly get all of an answer without a length or nothing when the host is killed', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { system, send } = await openSystem(context)
  const answers = Array.from({ length: SLOW_GUESTS }, (_, number) => send(`/whole/${LARGEST_BYTES - number}`, 10_000))
  await Promise.race(answers)
  system.getProcess(ENTRY_PROCESS).kill('SIGKILL')
  const lengths = (await Promise.all(answers)).map((answer) => readWholeBody(answer)?.length)
  lengths.forEach((length, number) => { assert.ok(length === undefined || length === LARGEST_BYTES - number, `${length} bytes look whole`) })
})

for (const bytes of [SMALL_BYTES, LARGE_BYTES]) {
  test(`an answer without a length never looks whole when its upstream is killed in the middle of it (${bytes} bytes)`, { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
    const { upstream, send } = await openSystem(context)
    const pending = send(`/part/${bytes}`, 2_500)
    await waitUntil(async () => upstream.runs.some((run) => run.includes('/part/')))
    await sleep(200)
    await upstream.kill()
    assert.equal(readWholeBody(await pending)?.length, undefined)
  })
}
