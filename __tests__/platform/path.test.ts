import assert from 'node:assert/strict'
import { once } from 'node:events'
import { test } from 'node:test'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { composePlan } from '../../examples/platform/composePlan.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'
import { StandInUpstream } from '../../examples/platform/StandInUpstream.js'

test('plan, upstream, directory, request, evacuation, drain, restart of all control hosts and stop', { timeout: 120_000 }, async (context) => {
  const network = await reserveNetwork()
  const system = new PlatformSystem(network.number)
  const upstream = new StandInUpstream('i-1')
  context.after(async () => {
    upstream.close()
    await system.stop()
    network.release()
  })
  await upstream.open()
  system.start()
  const control = system.getControlAddress(1)

  await waitUntil(async () => await sendPost(control, '/config/replace', composePlan('00000002', '00000000')) === 200)
  assert.equal(await sendPost(system.getControlAddress(2), '/config/replace', composePlan('00000002', '00000000')), 200, 'the same plan is accepted again')
  assert.equal(await sendPost(control, '/config/replace', composePlan('00000003', '00000001')), 412)
  assert.equal(await sendPost(control, '/config/replace', composePlan('00000003', '00000002', 'lookups/')), 400)
  assert.equal(await upstream.announce(control), 200)
  assert.equal(await sendPost(control, '/instances/i-9/heartbeat', '{"service":1}'), 400)

  await waitUntil(async () => (await fetch(`http://${system.readinessAddress}/readiness`)).status === 200)
  await waitUntil(async () => {
    const answer = await fetch(`http://${system.directoryAddress}/resolve?name=stock.example&region=asturias&zone=oviedo`)
    return (await answer.json() as { addresses: string[] }).addresses[0] === system.guestAddress
  })

  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1?x=2', 'a-1')).text === 'whole answer')
  assert.ok(upstream.runs.includes('GET /lookups/1?x=2 a-1'))
  assert.equal((await sendGuestRequest(system.guestAddress, '/nowhere/', 'a-2')).status, 404)
  const metrics = await (await fetch(`http://${system.metricsAddress}/metrics`)).text()
  assert.match(metrics, /^hibiscusrelay_request_seconds_count\{outcome="ran"\} [1-9]/m)
  assert.match(metrics, /^hibiscusrelay_events\{event="refused.unknown-path"\} 1$/m)

  assert.equal(await sendPost(control, '/evacuations/oviedo/begin'), 200)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-3')).status === 503)
  assert.notEqual((await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-4')).retryAfter, undefined)
  assert.equal(await sendPost(control, '/evacuations/oviedo/finish'), 200)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-5')).status === 200)

  assert.equal(await upstream.announce(system.getControlAddress(2), 'draining'), 200)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-6')).status === 503, 2_000)

  for (let number = 0; number < 3; number += 1) {
    const child = system.getProcess(number)
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
  for (let number = 0; number < 3; number += 1) system.startControlHost(number, false)
  await waitUntil(async () => {
    const answer = await fetch(`http://${control}/config/fetch`)
    return answer.status === 200 && (await answer.json() as { version: string }).version === '00000002'
  })

  const entry = system.getProcess(3)
  entry.kill('SIGTERM')
  const [code] = await once(entry, 'exit')
  assert.equal(code, 0)
})
