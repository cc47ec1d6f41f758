import assert from 'node:assert/strict'
import { once } from 'node:events'
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
