import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { StandInUpstream } from '../../examples/platform/StandInUpstream.js'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'

const RUN_MILLISECONDS = 700
const TEST_TIMEOUT_MILLISECONDS = 120_000
/** Number of the first entry host among the processes. */
const ENTRY_PROCESS = 3

async function openSystem (context: TestContext): Promise<{ system: PlatformSystem, upstream: StandInUpstream }> {
  const network = await reserveNetwork()
  const system = new PlatformSystem(network.number)
  const upstream = new StandInUpstream('i-1', RUN_MILLISECONDS)
  context.after(async () => {
    upstream.close()
    await system.stop()
    network.release()
  })
  await upstream.open()
  system.start()
  await waitUntil(async () => await sendPost(system.getControlAddress(0), '/config/replace', composePlan('00000002', '00000000')) === 200)
  await waitUntil(async () => await upstream.announce(system.getControlAddress(0)) === 200)
  return { system, upstream }
}

test('a second signal to stop does not end an entry host before its requests', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { system, upstream } = await openSystem(context)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-1')).text === 'whole answer')
  const pending = sendGuestRequest(system.guestAddress, '/lookups/1', 'a-2')
  await waitUntil(async () => upstream.runs.some((run) => run.endsWith('a-2')))
  const entry = system.getProcess(ENTRY_PROCESS)
  entry.kill('SIGTERM')
  await sleep(100)
  entry.kill('SIGTERM')
  assert.equal((await pending).text, 'whole answer')
  if (entry.exitCode === null) await once(entry, 'exit')
  assert.equal(entry.exitCode, 0)
})

test('a control host that stops answers an order that was on its way', { timeout: TEST_TIMEOUT_MILLISECONDS }, async (context) => {
  const { system } = await openSystem(context)
  for (const number of [0, 1, 2]) {
    const [host, port] = system.getControlAddress(number).split(':')
    const body = composePlan(`0000000${number + 3}`, `0000000${number + 2}`)
    const operator = connect({ host, port: Number(port) })
    let text = ''
    operator.on('data', (chunk) => { text += chunk.toString() })
    operator.on('error', () => {})
    await once(operator, 'connect')
    operator.write(`POST /config/replace HTTP/1.1\r\nhost: control\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body.slice(0, -1)}`)
    await sleep(50)
    const closed = once(operator, 'close')
    const control = system.getProcess(number)
    control.kill('SIGTERM')
    await sleep(300)
    operator.write(body.slice(-1))
    await closed
    assert.match(text, /^HTTP\/1.1 200 /, `control host ${number}`)
    if (control.exitCode === null) await once(control, 'exit')
    system.startControlHost(number, false)
    await waitUntil(async () => (await fetch(`http://${system.getControlAddress(number)}/config/fetch`)).status === 200)
  }
})
