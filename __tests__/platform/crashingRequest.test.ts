import assert from 'node:assert/strict'
import { once } from 'node:events'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil, type GuestAnswer } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'
import { CrashingUpstream, CrashKind } from './CrashingUpstream.js'

const DOMAINS = ['oviedo', 'gijon', 'santander']
const CONTROL_HOSTS = 3
const ENTRY_HOSTS = 6
const UPSTREAMS = 15
/** Most upstreams that may end of one request, however they end and whichever hosts it comes through. */
const MAXIMUM_CRASHES = 3
const RESEND_INTERVAL_MILLISECONDS = 150
const RESENDS = 60
const INNOCENT_INTERVAL_MILLISECONDS = 25
/** Deaths by a cause of their own, beside the crashing request. */
const OWN_CRASH_INTERVAL_MILLISECONDS = 2_000
const STATUS_POISON = 422

let network: ReservedNetwork
let system: PlatformSystem
let upstreams: CrashingUpstream[]
let attempts = 0

before(async () => {
  network = await reserveNetwork()
  system = new PlatformSystem(network.number, ENTRY_HOSTS, DOMAINS)
  system.start()
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', composePlan('00000002', '00000000')) === 200)
  upstreams = Array.from({ length: UPSTREAMS }, (_, number) => new CrashingUpstream({ name: `u-${number}`, domain: DOMAINS[number % DOMAINS.length]!, controlAddress: system.getControlAddress(number % CONTROL_HOSTS) }))
  await Promise.all(upstreams.map((upstream) => upstream.start()))
  for (let number = 0; number < ENTRY_HOSTS; number += 1) await waitUntil(async () => (await send(number, '/lookups/first')).status === 200)
})

after(async () => {
  for (const upstream of upstreams) upstream.close()
  await system.stop()
  network.release()
})

for (const kind of Object.values(CrashKind)) {
  test(`a request that ends upstreams (${kind}) ends at most three of them, and innocent requests are served`, { timeout: 60_000 }, async (context) => {
    const path = `/lookups/crash/${kind}/1`
    const innocents = startInnocentLoad(kind)
    await resendCrashingRequest(path).catch((error: unknown) => { innocents.end(); throw error })
    const { failed, answers, paths } = await innocents.stop()
    context.diagnostic(`${countCrashes(path)} upstreams ended, ${failed} of ${answers.length} innocent requests failed`)
    assert.ok(countCrashes(path) <= MAXIMUM_CRASHES, `${countCrashes(path)} upstreams ended`)
    assert.equal(answers.filter(({ status }) => status === STATUS_POISON).length, 0, 'innocent requests that were refused as crashing ones')
    assert.ok(failed < 0.02 * answers.length, `${failed} of ${answers.length} innocent requests failed`)
    for (const innocentPath of paths) await waitUntil(async () => (await send(0, innocentPath)).status === 200, 3_000)
  })
}

test('a request that ended upstreams ends no more than three after control hosts and entry hosts were started again', { timeout: 60_000 }, async () => {
  const path = `/lookups/crash/${CrashKind.Reset}/2`
  await resendCrashingRequest(path, 30)
  for (let number = 0; number < CONTROL_HOSTS; number += 1) await kill(number)
  for (let number = 0; number < CONTROL_HOSTS; number += 1) system.startControlHost(number, false)
  for (let number = 0; number < ENTRY_HOSTS; number += 2) await restartEntryHost(number)
  await sleep(3_000)
  await resendCrashingRequest(path, 30)
  assert.ok(countCrashes(path) <= MAXIMUM_CRASHES, `${countCrashes(path)} upstreams ended`)
})

test('a request that ended upstreams ends no more than three after all processes were started again', { timeout: 60_000 }, async () => {
  const path = `/lookups/crash/${CrashKind.Reset}/3`
  await resendCrashingRequest(path, 30)
  for (let number = 0; number < CONTROL_HOSTS + ENTRY_HOSTS; number += 1) await kill(number)
  for (let number = 0; number < CONTROL_HOSTS; number += 1) system.startControlHost(number, false)
  for (let number = 0; number < ENTRY_HOSTS; number += 1) system.startEntryHost(number)
  for (let number = 0; number < ENTRY_HOSTS; number += 1) await waitUntil(async () => (await send(number, '/lookups/first')).status === 200)
  await resendCrashingRequest(path, 30)
  assert.ok(countCrashes(path) <= MAXIMUM_CRASHES, `${countCrashes(path)} upstreams ended`)
})

function countCrashes (path: string): number {
  return upstreams.reduce((sum, { crashesByPath }) => sum + (crashesByPath.get(path) ?? 0), 0)
}

/** Sends a request through an entry host; a connection without an answer counts as status 0. */
async function send (entryHost: number, path: string): Promise<GuestAnswer> {
  return await sendGuestRequest(system.getGuestAddress(entryHost), path, `a-${++attempts}`).catch(() => ({ status: 0, text: '', retryAfter: undefined }))
}

/** Sends the request through the entry hosts in turn, without waiting for answers, and waits for all of them at the end. */
async function resendCrashingRequest (path: string, resends = RESENDS): Promise<void> {
  const answers: Array<Promise<GuestAnswer>> = []
  for (let number = 0; number < resends; number += 1) {
    answers.push(send(number % ENTRY_HOSTS, path))
    await sleep(RESEND_INTERVAL_MILLISECONDS)
  }
  await Promise.all(answers)
}

/** Sends lookups of some objects through all entry hosts, and lets upstreams end for reasons of their own. */
function startInnocentLoad (kind: CrashKind): { end: () => void, stop: () => Promise<{ failed: number, answers: GuestAnswer[], paths: string[] }> } {
  const answers: Array<Promise<GuestAnswer>> = []
  const paths = Array.from({ length: 40 }, (_, number) => `/lookups/${kind}/${number}`)
  const loadTimer = setInterval(() => { answers.push(send(answers.length % ENTRY_HOSTS, paths[answers.length % paths.length]!)) }, INNOCENT_INTERVAL_MILLISECONDS)
  let ownCrashes = 0
  const crashTimer = setInterval(() => { upstreams[(7 * ++ownCrashes) % UPSTREAMS]!.crash(kind) }, OWN_CRASH_INTERVAL_MILLISECONDS)
  const end = (): void => {
    clearInterval(loadTimer)
    clearInterval(crashTimer)
  }
  return {
    end,
    stop: async () => {
      end()
      const ended = await Promise.all(answers)
      return { failed: ended.filter(({ status }) => status !== 200).length, answers: ended, paths }
    }
  }
}

async function kill (number: number): Promise<void> {
  const child = system.getProcess(number)
  child.kill('SIGKILL')
  await once(child, 'exit')
}

async function restartEntryHost (number: number): Promise<void> {
  await kill(CONTROL_HOSTS + number)
  system.startEntryHost(number)
}
