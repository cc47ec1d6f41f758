import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { StandInUpstream } from '../../examples/platform/StandInUpstream.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'

const NESTING_DEPTH = 200_000
const SOUND = { service: 'inventario', address: '127.0.0.1:8080', zone: 'oviedo', version: 'v1', slots: 4, state: 'ready', cold_remaining_s: 0, sequence: 1, born: 1_000 }
const ODD_FIELDS: Array<Record<string, unknown>> = [
  { address: '127.0.0.1:99999' },
  { address: '127.0.0.1:0' },
  { address: '999.1.1.1:80' },
  { address: '127.0.0.1:080808' },
  { slots: Number.MAX_SAFE_INTEGER },
  { slots: 0 },
  { cold_remaining_s: 1e300 },
  { sequence: 1e300 },
  { born: Number.MAX_SAFE_INTEGER },
  { zone: 'z'.repeat(10_000) }
]

let network: ReservedNetwork
let system: PlatformSystem
const upstream = new StandInUpstream('i-sound')

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

test('announcements with numbers out of range are refused, and guests are served beside them', { timeout: 30_000 }, async () => {
  for (const [number, fields] of ODD_FIELDS.entries()) {
    const status = await sendPost(system.getControlAddress(number % 3), `/instances/i-odd-${number}/heartbeat`, JSON.stringify({ ...SOUND, ...fields }))
    assert.equal(status, 400, JSON.stringify(fields).slice(0, 100))
  }
  await expectService()
})

test('announcements that are deeply nested or have a malformed path are refused, and no process ends', { timeout: 30_000 }, async () => {
  const nested = '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH)
  assert.equal(await sendPost(system.getControlAddress(0), '/instances/i-odd/heartbeat', nested), 400)
  assert.equal(await sendPost(system.getControlAddress(0), '/instances/i-odd/heartbeat', JSON.stringify(SOUND).replace('1000', nested)), 400)
  assert.equal(await sendPost(system.getControlAddress(0), '/instances/%ZZ/heartbeat', JSON.stringify(SOUND)), 400)
  await expectService()
  for (let number = 0; number < 4; number += 1) assert.equal(system.getProcess(number).exitCode, null)
})

async function expectService (): Promise<void> {
  await upstream.announce(system.getControlAddress(1))
  for (let number = 0; number < 30; number += 1) assert.equal((await sendGuestRequest(system.guestAddress, `/lookups/${number}`, `a-${number}`)).status, 200)
}

// Guards against a plan that is stored with other bytes than were sent.
test('a plan that is not UTF-8 is refused, and the plan in force is read unchanged', { timeout: 30_000 }, async () => {
  const plan = Buffer.from(composePlan('00000003', '00000002'))
  plan[plan.indexOf('lookups')] = 0xff
  for (let number = 0; number < 3; number += 1) {
    const response = await fetch(`http://${system.getControlAddress(number)}/config/replace`, { method: 'POST', body: plan })
    assert.equal(response.status, 400)
  }
  await expectService()
  const read = await fetch(`http://${system.getControlAddress(1)}/config/fetch`)
  assert.equal(await read.text(), composePlan('00000002', '00000000'))
})
