import assert from 'node:assert/strict'
import { test } from 'node:test'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil, type GuestAnswer } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { StandInUpstream } from '../../examples/platform/StandInUpstream.js'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'

const ENTRY_HOSTS = 2
const RATE_PER_SECOND = 10
const BURST = 5
const SEND_MILLISECONDS = 5_000
const SEND_INTERVAL_MILLISECONDS = 40
/** The bound of the settings' defaults in a window of 5 s. */
const MAXIMUM_RUNS = (RATE_PER_SECOND * 5 + BURST) * 1.1 + 20
const ANNOUNCEMENT_MILLISECONDS = 1_000

function composePlanWithAccounts (): string {
  const tenants = {
    columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst', 'home_regions'],
    rows: [['limited', ['key-1'], 1, RATE_PER_SECOND, BURST, []], ['unlimited', ['key-2'], 1, 0, 0, []]]
  }
  return JSON.stringify({ ...JSON.parse(composePlan('00000002', '00000000')), tenants })
}

// Guards against a quota that each entry host, or each control host, applies for itself, and against guests without a limit who pay for others.
test('the requests of an account stay within its quota over all entry hosts, and an account without a limit is served', { timeout: 120_000 }, async (context) => {
  const network = await reserveNetwork()
  const system = new PlatformSystem(network.number, ENTRY_HOSTS, ['oviedo', 'gijon', 'aviles'])
  const upstream = new StandInUpstream('i-1')
  const control = system.getControlAddress(0)
  const announce = async (): Promise<number> => await upstream.announce(control)
  const announcing = setInterval(() => { announce().catch(() => {}) }, ANNOUNCEMENT_MILLISECONDS)
  context.after(async () => {
    clearInterval(announcing)
    upstream.close()
    await system.stop()
    network.release()
  })
  await upstream.open()
  system.start()
  await waitUntil(async () => await sendPost(control, '/config/replace', composePlanWithAccounts()) === 200)
  await waitUntil(async () => await announce() === 200)

  let sent = 0
  const send = async (entryHost: number, key: string): Promise<GuestAnswer> => {
    sent += 1
    return await sendGuestRequest(system.getGuestAddress(entryHost), `/lookups/${key}`, `a-${sent}`, { Key: key })
  }
  for (let host = 0; host < ENTRY_HOSTS; host += 1) await waitUntil(async () => (await send(host, 'key-1')).status === 200)
  assert.equal((await send(0, 'key-3')).status, 401)

  const runsBefore = upstream.runs.length
  const answers: Array<Promise<GuestAnswer>> = []
  const startedAt = performance.now()
  while (performance.now() - startedAt < SEND_MILLISECONDS) {
    for (let host = 0; host < ENTRY_HOSTS; host += 1) answers.push(send(host, 'key-1'))
    await new Promise((resolve) => { setTimeout(resolve, SEND_INTERVAL_MILLISECONDS) })
  }
  const statuses = (await Promise.all(answers)).map(({ status, retryAfter }) => `${status} ${Number(retryAfter) > 0}`)
  const runs = upstream.runs.length - runsBefore
  context.diagnostic(`${runs} of ${answers.length} ran, ${MAXIMUM_RUNS} allowed`)
  assert.deepEqual([...new Set(statuses)].sort(), ['200 false', '429 true'])
  assert.ok(runs <= MAXIMUM_RUNS, `${runs} ran, ${MAXIMUM_RUNS} allowed`)
  assert.ok(runs >= 0.5 * RATE_PER_SECOND * 5, `only ${runs} ran`)

  // One after the other, as the only upstream has four slots.
  for (let count = 0; count < 100; count += 1) assert.equal((await send(0, 'key-2')).status, 200)

  for (let number = 0; number < 3; number += 1) system.getProcess(number).kill('SIGKILL')
  await waitUntil(async () => {
    const { status, text, retryAfter } = await send(1, 'key-1')
    return status === 503 && text.includes('quota-unavailable') && retryAfter !== undefined
  }, 5_000)
  assert.equal((await send(0, 'key-2')).status, 200)
})
