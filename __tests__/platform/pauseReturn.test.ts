import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { composePlan } from '../../examples/platform/composePlan.js'
import { sendGuestRequest, sendPost, waitUntil } from '../../examples/platform/httpCalls.js'
import { PlatformSystem } from '../../examples/platform/PlatformSystem.js'
import { fingerprintRequest } from '../../src/relay/fingerprintRequest.js'
import { computeScore, hashKey } from '../../src/steering/RendezvousItems.js'
import { hashText } from '../../src/utils/hashText.js'
import { reserveNetwork, type ReservedNetwork } from '../scenarios/reserveNetwork.js'
import { NoticingUpstream } from './NoticingUpstream.js'
import { sendLoad } from './sendLoad.js'

const ENTRY_HOSTS = 6
const UPSTREAMS = 3
/** Each host has a request for the paused upstream every 50 ms. */
const REQUEST_INTERVAL_MILLISECONDS = 8
const PAUSE_SECONDS = 3
/** A silent upstream would count as lost, and get one request at a time for that. */
const ANNOUNCEMENT_MILLISECONDS = 1_500
/** Longer than the time over which the hosts return: without a bound they would all have requests there together. */
const RUN_MILLISECONDS = 400
/** Time from the end of the pause in which all six hosts would return if they did so at once, and the most hosts that may. */
const CROWD_MILLISECONDS = 300
const MAXIMUM_EARLY_HOSTS = 4
/** Time from a host's return in which it has had no answer of the upstream, so that it may have one request there. */
const FIRST_ANSWER_MILLISECONDS = RUN_MILLISECONDS - 50
const RETURN_MILLISECONDS = 4_000

let network: ReservedNetwork
let system: PlatformSystem
let announcing: NodeJS.Timeout
const upstreams = Array.from({ length: UPSTREAMS }, (_, number) => new NoticingUpstream({ id: `i-${number}`, entryHosts: ENTRY_HOSTS, runMilliseconds: number === 0 ? RUN_MILLISECONDS : undefined }))
const paused = upstreams[0]!

before(async () => {
  network = await reserveNetwork()
  system = new PlatformSystem(network.number, ENTRY_HOSTS)
  system.start()
  await Promise.all(upstreams.map((upstream) => upstream.open()))
  await waitUntil(async () => await sendPost(system.getControlAddress(1), '/config/replace', composePlan('00000002', '00000000')) === 200)
  await announceAll()
  announcing = setInterval(() => { announceAll().catch(() => {}) }, ANNOUNCEMENT_MILLISECONDS)
  for (let host = 0; host < ENTRY_HOSTS; host += 1) await waitUntil(async () => (await sendGuestRequest(system.getGuestAddress(host), '/lookups/0', `first-${host}`)).status === 200)
  // Control hosts need some seconds to count all entry hosts.
  await sleep(6_000)
})

after(async () => {
  clearInterval(announcing)
  for (const upstream of upstreams) upstream.close()
  await system.stop()
  network.release()
})

async function announceAll (): Promise<void> {
  await Promise.all(upstreams.map((upstream) => upstream.announce(system.getControlAddress(1))))
}

/** @returns an object whose first upstream is the paused one */
function chooseObject (number: number): string {
  for (let salt = 0; ; salt += 1) {
    const object = `crowd-${salt}-${number}`
    const keyHash = hashKey(fingerprintRequest({ scope: 'stock.example', method: 'GET', path: `/lookups/${object}`, body: Buffer.alloc(0) }))
    const [pausedScore, ...otherScores] = upstreams.map((_, upstream) => computeScore(keyHash, hashText(`i-${upstream}`)))
    if (otherScores.every((score) => score < pausedScore!)) return object
  }
}

// Guards against hosts that were told the same pause and come back all at once, with all their requests.
test('six hosts that were asked for the same pause return one after another, each with one request at first', { timeout: 90_000 }, async (context) => {
  paused.fields = { 'retry-after': String(PAUSE_SECONDS) }
  paused.isRefusing = true
  paused.arrivalsByHost.clear()
  const loading = sendLoad({ system, entryHosts: ENTRY_HOSTS, name: 'crowd', intervalMilliseconds: REQUEST_INTERVAL_MILLISECONDS, milliseconds: 1_000 * PAUSE_SECONDS + RETURN_MILLISECONDS, chooseObject })
  await waitUntil(async () => paused.arrivalsByHost.size === ENTRY_HOSTS, 2_000)
  const refusals = [...paused.arrivalsByHost.values()].map(([first]) => first!)
  const endsAt = new Map([...paused.arrivalsByHost].map(([host, times]) => [host, times[0]! + 1_000 * PAUSE_SECONDS]))
  await sleep(1_000)
  paused.isRefusing = false
  paused.fields = {}
  paused.arrivalsByHost.clear()
  await loading
  const delays = [...paused.arrivalsByHost].map(([host, times]) => times.map((time) => time - endsAt.get(host)!))
  const returns = delays.map(([first]) => Math.round(first!)).sort((left, right) => left - right)
  const firstAnswers = delays.map((times) => times.filter((time) => time < times[0]! + FIRST_ANSWER_MILLISECONDS).length)
  context.diagnostic(`refused within ${Math.round(Math.max(...refusals) - Math.min(...refusals))} ms; returns after the end of the pause: ${returns.join(', ')} ms; requests of each host before its first answer: ${firstAnswers.join(', ')}`)
  assert.ok(Math.max(...refusals) - Math.min(...refusals) < 1_000, 'they were told in the same second')
  assert.equal(returns.length, ENTRY_HOSTS, 'each host uses it again')
  assert.ok(returns[0]! >= 0)
  assert.ok(returns.filter((time) => time < CROWD_MILLISECONDS).length <= MAXIMUM_EARLY_HOSTS)
  assert.deepEqual(firstAnswers, firstAnswers.map(() => 1))
})
