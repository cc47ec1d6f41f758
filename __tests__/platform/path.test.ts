import assert from 'node:assert/strict'
import { once } from 'node:events'
import { request } from 'node:http'
import { test } from 'node:test'
import { PlatformSystem } from './PlatformSystem.js'
import { StandInUpstream } from './StandInUpstream.js'

const COLUMNS = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']
const START_MILLISECONDS = 20_000

function describePlan (version: string, base: string, prefix = '/lookups/'): string {
  return JSON.stringify({
    version,
    base_version: base,
    routes: { columns: COLUMNS, rows: [['lookups', 'stock.example', prefix, 'idempotent', 2, 0.6, 1, 'inventario', 2, true, [], null]] },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: [['inventario', '/health', 660, 'h1', false, 3, 8]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_s: 3, idle_timeout_s: 15 }
  })
}

/** Repeats a check until it passes or its time is over. */
async function until (check: () => Promise<boolean>, milliseconds = START_MILLISECONDS): Promise<void> {
  const deadline = performance.now() + milliseconds
  while (!await check().catch(() => false)) {
    assert.ok(performance.now() < deadline, `not in time: ${check.toString()}`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
}

async function post (address: string, path: string, body?: string): Promise<number> {
  const answer = await fetch(`http://${address}${path}`, { method: 'POST', body })
  return answer.status
}

function ask (address: string, path: string, attempt: string): Promise<{ status: number, text: string, retryAfter: string | undefined }> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const call = request({ host, port, path, headers: { Host: 'stock.example', 'Attempt-Id': attempt, 'Deadline-Ms': '3000' } }, (answer) => {
      let text = ''
      answer.on('data', (chunk: Buffer) => { text += chunk.toString() })
      answer.on('end', () => { resolve({ status: answer.statusCode ?? 0, text, retryAfter: answer.headers['retry-after'] }) })
    })
    call.on('error', reject)
    call.end()
  })
}

test('plan, upstream, directory, request, evacuation, drain, restart of all control hosts and stop', { timeout: 120_000 }, async (context) => {
  const system = new PlatformSystem()
  const upstream = new StandInUpstream('i-1')
  context.after(async () => {
    upstream.close()
    await system.stop()
  })
  await upstream.open()
  system.start()
  const control = system.controlAddress(1)

  await until(async () => await post(control, '/config/replace', describePlan('00000002', '00000000')) === 200)
  assert.equal(await post(system.controlAddress(2), '/config/replace', describePlan('00000002', '00000000')), 200, 'the same plan is accepted again')
  assert.equal(await post(control, '/config/replace', describePlan('00000003', '00000001')), 412)
  assert.equal(await post(control, '/config/replace', describePlan('00000003', '00000002', 'lookups/')), 400)
  assert.equal(await upstream.announce(control), 200)
  assert.equal(await post(control, '/instances/i-9/heartbeat', '{"service":1}'), 400)

  await until(async () => (await fetch(`http://${system.readinessAddress}/readiness`)).status === 200)
  await until(async () => {
    const answer = await fetch(`http://${system.directoryAddress}/resolve?name=stock.example&region=asturias&zone=oviedo`)
    return (await answer.json() as { addresses: string[] }).addresses[0] === system.guestAddress
  })

  await until(async () => (await ask(system.guestAddress, '/lookups/1?x=2', 'a-1')).text === 'whole answer')
  assert.ok(upstream.runs.includes('GET /lookups/1?x=2 a-1'))
  assert.equal((await ask(system.guestAddress, '/nowhere/', 'a-2')).status, 404)

  assert.equal(await post(control, '/evacuations/oviedo/begin'), 200)
  await until(async () => (await ask(system.guestAddress, '/lookups/1', 'a-3')).status === 503)
  assert.notEqual((await ask(system.guestAddress, '/lookups/1', 'a-4')).retryAfter, undefined)
  assert.equal(await post(control, '/evacuations/oviedo/finish'), 200)
  await until(async () => (await ask(system.guestAddress, '/lookups/1', 'a-5')).status === 200)

  assert.equal(await upstream.announce(system.controlAddress(2), 'draining'), 200)
  await until(async () => (await ask(system.guestAddress, '/lookups/1', 'a-6')).status === 503, 2_000)

  for (let number = 0; number < 3; number += 1) {
    const child = system.processOf(number)
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
  for (let number = 0; number < 3; number += 1) system.startControl(number, false)
  await until(async () => {
    const answer = await fetch(`http://${control}/config/fetch`)
    return answer.status === 200 && (await answer.json() as { version: string }).version === '00000002'
  })

  const entry = system.processOf(3)
  entry.kill('SIGTERM')
  const [code] = await once(entry, 'exit')
  assert.equal(code, 0)
})
