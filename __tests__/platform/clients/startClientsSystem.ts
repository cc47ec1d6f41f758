import assert from 'node:assert/strict'
import type { TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../../examples/platform/PlatformSystem.js'
import { StandInUpstream } from '../../../examples/platform/StandInUpstream.js'
import { reserveNetwork } from '../../scenarios/reserveNetwork.js'
import { ClientCrowd, type ClientBehavior } from '../../support/ClientCrowd.js'
import { assertWithinBounds, type ProcessBounds } from '../../support/hostProcess.js'

/** Number of the entry host's process; those of the control hosts come before. */
const ENTRY_HOST = 3
/** Heap limit of the hosts, in MB: deployments have 96 for entry hosts and 160 for control hosts. It lets a small crowd show unbounded memory. */
const HEAP_MEGABYTES = 32
/** Memory of the smallest machine of an entry host, in KiB; the heap is a part of it. */
const ENTRY_MEMORY_KIB = 202 * 1024
/** Memory of the smallest machine of a control host, less the part of its heap that the test takes away, in KiB. */
const CONTROL_MEMORY_KIB = (346 - (160 - HEAP_MEGABYTES)) * 1024
/** Descriptors beside the connections of the crowd: files, other hosts, upstreams and ordinary callers. */
const SPARE_DESCRIPTORS = 200
/** Time in which a crowd that shows a fault has shown it on the code before the bounds on connections. */
const CROWD_MILLISECONDS = 8_000
/** A host that does not answer any ordinary caller for this long hangs. */
const PATIENCE_MILLISECONDS = 30_000
/** Largest header and body of the deployments' plans. */
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 }

/** Three control hosts, an entry host and an upstream that answers at once. */
export interface ClientsFixture {
  system: PlatformSystem
  upstream: StandInUpstream
}

/**
 * Starts the hosts with a lowered heap limit and waits until a guest is served.
 *
 * @param context - test after which everything is stopped
 */
export async function startClientsSystem (context: TestContext): Promise<ClientsFixture> {
  const network = await reserveNetwork()
  const system = new PlatformSystem(network.number, 1, ['oviedo'], () => [`--max-old-space-size=${HEAP_MEGABYTES}`, '--max-semi-space-size=4'])
  const upstream = new StandInUpstream('i-sound')
  context.after(async () => {
    upstream.close()
    await system.stop()
    network.release()
  })
  system.start()
  await upstream.open()
  const plan = JSON.stringify({ ...JSON.parse(composePlan('00000002', '00000000')) as object, limits: LIMITS })
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', plan) === 200)
  await waitUntil(async () => await upstream.announce(system.getControlAddress(1)) === 200)
  await waitUntil(async () => (await sendGuestRequest(system.guestAddress, '/lookups/1', 'a-0')).status === 200)
  return { system, upstream }
}

/** A crowd at a listener of a host. */
export interface CrowdOptions {
  address: string
  size: number
  behavior: ClientBehavior
}

/**
 * Lets crowds send for some seconds, and asserts that all hosts are within their bounds while the crowds are still there, and that ordinary
 * callers get responses then.
 *
 * @param context - the test
 * @param fixture - hosts and upstream
 * @param crowds - the crowds, all at the same time
 * @param milliseconds - how long they send before the hosts are looked at
 */
export async function assertSurvives (context: TestContext, { system, upstream }: ClientsFixture, crowds: CrowdOptions[], milliseconds = CROWD_MILLISECONDS): Promise<void> {
  const clients = crowds.map(({ address, size, behavior }) => new ClientCrowd(address, size, behavior))
  context.after(() => { for (const crowd of clients) crowd.close() })
  await sleep(milliseconds)
  context.diagnostic(`${clients.map(({ open }) => open).join(', ')} connections of the crowds are open`)
  const descriptors = SPARE_DESCRIPTORS + crowds.reduce((sum, { size }) => sum + size, 0)
  const control: ProcessBounds = { memoryKib: CONTROL_MEMORY_KIB, descriptors }
  const assertHosts = (): void => {
    for (let number = 0; number < ENTRY_HOST; number += 1) assertWithinBounds(system.getProcess(number), control, context)
    assertWithinBounds(system.getProcess(ENTRY_HOST), { memoryKib: ENTRY_MEMORY_KIB, descriptors }, context)
  }
  assertHosts()
  await assertAnswered('an announcement', async () => await upstream.announce(system.getControlAddress(0)) === 200)
  await assertAnswered('a guest', async () => (await sendGuestRequest(system.guestAddress, '/lookups/2', `a-${performance.now()}`)).status === 200)
  assertHosts()
}

async function assertAnswered (caller: string, check: () => Promise<boolean>): Promise<void> {
  // A call that hangs would keep the check from ending.
  const hang = sleep(PATIENCE_MILLISECONDS, undefined, { ref: false }).then(() => assert.fail(`${caller} is not answered within ${PATIENCE_MILLISECONDS} ms`))
  await Promise.race([waitUntil(check, PATIENCE_MILLISECONDS), hang])
}
