import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { StandInUpstream } from '../../examples/platform/StandInUpstream.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'

const FROZEN_HOST = 2
/** An operator waits for an answer for so long. */
const OPERATOR_TIMEOUT_MILLISECONDS = 1_000
/** Round trip between an operator and a control host. */
const ROUND_TRIP_MILLISECONDS = 6
/** Time in which an order that was carried out late would reach the entry hosts. */
const WATCH_MILLISECONDS = 3_000

let network: ReservedNetwork
let system: PlatformSystem
const upstream = new StandInUpstream('i-1')

before(async () => {
  network = await reserveNetwork()
  system = new PlatformSystem(network.number)
  system.start()
  await upstream.open()
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', composePlan('00000002', '00000000')) === 200)
  assert.equal(await upstream.announce(system.getControlAddress(1)), 200)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-0')).status === 200)
})

after(async () => {
  upstream.close()
  await system.stop()
  network.release()
})

async function order (action: 'begin' | 'finish'): Promise<void> {
  await waitUntil(async () => await sendPost(system.getControlAddress(1), `/evacuations/oviedo/${action}`) === 200)
}

// Guards against a control host that wakes and carries out an order that its caller has long had carried out by another one.
test('a control host that wakes from a freeze does not take back an evacuation that was ordered anew meanwhile', { timeout: 60_000 }, async () => {
  await order('begin')
  const frozen = system.getProcess(FROZEN_HOST)
  frozen.kill('SIGSTOP')
  await assert.rejects(fetch(`http://${system.getControlAddress(FROZEN_HOST)}/evacuations/oviedo/finish`, { method: 'POST', signal: AbortSignal.timeout(OPERATOR_TIMEOUT_MILLISECONDS) }))
  await order('finish')
  await order('begin')
  frozen.kill('SIGCONT')
  await sleep(WATCH_MILLISECONDS)
  assert.equal((await sendGuestRequest(system.guestAddress, '/lookups/2', 'a-1')).status, 503, 'the failure domain is evacuated')
})

// Guards against a control host that carries out a copy that a cut link held up: the end of its connection comes one round trip behind it.
test('a late copy of an order does not take back a later evacuation when its connection ends a round trip behind it', { timeout: 60_000 }, async () => {
  const address = system.getControlAddress(0)
  const [host, port] = address.split(':')
  await order('begin')
  const late = connect(Number(port), host)
  await once(late, 'connect')
  await order('finish')
  await order('begin')
  late.resume().write(`POST /evacuations/oviedo/finish HTTP/1.1\r\nhost: ${address}\r\ncontent-length: 0\r\n\r\n`)
  await sleep(ROUND_TRIP_MILLISECONDS)
  late.end()
  await sleep(WATCH_MILLISECONDS)
  assert.equal((await sendGuestRequest(system.guestAddress, '/lookups/3', 'a-2')).status, 503, 'the failure domain is evacuated')
})
