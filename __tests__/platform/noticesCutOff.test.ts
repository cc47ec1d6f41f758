import assert from 'node:assert/strict'
import { after, before, test, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'
import { FIRST_BIRTH, NoticingUpstream } from './NoticingUpstream.js'
import { sendLoad, type LoadResult } from './sendLoad.js'

const ENTRY_HOSTS = 3
const CONTROL_HOSTS = 3
const UPSTREAMS = 6
const REQUEST_INTERVAL_MILLISECONDS = 25
/** The shortest time in the users' deployments after which a leaving upstream must get no more requests. */
const DRAIN_MILLISECONDS = 2_000
const PAUSE_SECONDS = 3
/** Longer than the test: only a new start ends it. */
const LONG_PAUSE_SECONDS = 200
/** Time after a refusal from which the users count requests at an upstream that asked for a pause, and the number that they allow for each host. */
const COUNTED_FROM_MILLISECONDS = 500
const MAXIMUM_REQUESTS_IN_PAUSE = 2
/** Time in which every upstream in use gets requests of each host. */
const CHECK_MILLISECONDS = 2_000
const LATER_BIRTH = 2_000

let network: ReservedNetwork
let system: PlatformSystem
const upstreams = Array.from({ length: UPSTREAMS }, (_, number) => new NoticingUpstream({ id: `i-${number}`, entryHosts: ENTRY_HOSTS }))
const [leaving, paused] = upstreams as [NoticingUpstream, NoticingUpstream]

before(async () => {
  network = await reserveNetwork()
  system = new PlatformSystem(network.number, ENTRY_HOSTS)
  system.start()
  await Promise.all(upstreams.map((upstream) => upstream.open()))
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', composePlan('00000002', '00000000')) === 200)
  await announceAll()
  for (let host = 0; host < ENTRY_HOSTS; host += 1) await waitUntil(async () => (await sendGuestRequest(system.getGuestAddress(host), '/lookups/0', `first-${host}`)).status === 200)
  await waitUntil(async () => await areAllUsed(upstreams))
})

after(async () => {
  for (const upstream of upstreams) upstream.close()
  await system.stop()
  network.release()
})

async function announceAll (): Promise<void> {
  for (const upstream of upstreams) await upstream.announce(system.getControlAddress(1))
}

let loads = 0

async function load (milliseconds: number): Promise<LoadResult> {
  return await sendLoad({ system, entryHosts: ENTRY_HOSTS, name: `load${loads++}`, intervalMilliseconds: REQUEST_INTERVAL_MILLISECONDS, milliseconds })
}

/** Sends load; returns whether upstreams got some of it from each entry host. */
async function areAllUsed (expected: NoticingUpstream[]): Promise<boolean> {
  for (const upstream of expected) upstream.arrivalsByHost.clear()
  await load(CHECK_MILLISECONDS)
  return expected.every(({ arrivalsByHost }) => arrivalsByHost.size === ENTRY_HOSTS)
}

function forAllControlHosts (act: (number: number) => void): void {
  for (let number = 0; number < CONTROL_HOSTS; number += 1) act(number)
}

async function checkLeaving (context: TestContext): Promise<void> {
  leaving.arrivalsByHost.clear()
  leaving.fields = { 'server-leaving': '1' }
  const { served, sent } = await load(6_000)
  const late = leaving.countAfterFirst(DRAIN_MILLISECONDS, Number.POSITIVE_INFINITY)
  context.diagnostic(`late by host: ${late.join(', ')}; ${served} of ${sent} served`)
  assert.equal(late.length, ENTRY_HOSTS)
  assert.deepEqual(late, late.map(() => 0))
  assert.equal(served, sent)
}

async function checkPause (context: TestContext): Promise<void> {
  paused.arrivalsByHost.clear()
  paused.fields = { 'retry-after': String(PAUSE_SECONDS) }
  paused.isRefusing = true
  const { served, sent } = await load(1_000 * PAUSE_SECONDS)
  const during = paused.countAfterFirst(COUNTED_FROM_MILLISECONDS, 1_000 * PAUSE_SECONDS)
  context.diagnostic(`in the pause by host: ${during.join(', ')}; ${served} of ${sent} served`)
  assert.equal(during.length, ENTRY_HOSTS)
  assert.ok(during.every((count) => count <= MAXIMUM_REQUESTS_IN_PAUSE))
  assert.equal(served, sent)
  paused.isRefusing = false
  paused.fields = {}
}

/** Announces an upstream that is sound, and waits until each entry host follows a control host, which shows in its use. */
async function waitUntilFollowing (): Promise<void> {
  const probe = new NoticingUpstream({ id: `i-${upstreams.length}`, entryHosts: ENTRY_HOSTS })
  upstreams.push(probe)
  await probe.open()
  await waitUntil(async () => await probe.announce(system.getControlAddress(1)) === 200)
  await waitUntil(async () => await areAllUsed([probe]), 40_000)
}

// Guards against a mark or a pause that holds only while a control host can be reached.
test('entry hosts without control hosts heed marks and pauses', { timeout: 120_000 }, async (context) => {
  forAllControlHosts((number) => system.getProcess(number).kill('SIGSTOP'))
  await sleep(1_000)
  await checkLeaving(context)
  await checkPause(context)
  forAllControlHosts((number) => system.getProcess(number).kill('SIGCONT'))
})

// Guards against a mark that a late announcement, or control hosts that were started again, take back.
test('neither a late announcement nor a restart of all control hosts takes the mark back', { timeout: 120_000 }, async (context) => {
  leaving.arrivalsByHost.clear()
  forAllControlHosts((number) => system.getProcess(number).kill('SIGKILL'))
  await sleep(500)
  forAllControlHosts((number) => system.startControlHost(number, false))
  await waitUntil(async () => await leaving.announce(system.getControlAddress(1)) === 200)
  await waitUntilFollowing()
  await announceAll()
  const { served, sent } = await load(3_000)
  context.diagnostic(`hosts that sent to the leaving upstream: ${leaving.arrivalsByHost.size}; ${served} of ${sent} served`)
  assert.equal(leaving.arrivalsByHost.size, 0)
})

// Guards against a mark or a pause of an earlier start that keeps the next start out of use, also when the earlier one is announced late.
test('an upstream that starts anew at the same address under the same identifier starts clean', { timeout: 120_000 }, async () => {
  paused.fields = { 'retry-after': String(LONG_PAUSE_SECONDS) }
  paused.isRefusing = true
  await waitUntil(async () => await areAllUsed([paused]))
  paused.isRefusing = false
  for (const upstream of [leaving, paused]) {
    upstream.born = LATER_BIRTH
    upstream.fields = {}
  }
  await announceAll()
  await waitUntil(async () => await areAllUsed([leaving, paused]))
  for (const upstream of [leaving, paused]) await upstream.announce(system.getControlAddress(1), FIRST_BIRTH)
  await sleep(1_500)
  await waitUntil(async () => await areAllUsed([leaving, paused]))
})
