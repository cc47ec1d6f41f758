import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { BudgetLeases } from '../../src/limits/BudgetLeases.js'
import { LeaseTable } from '../../src/limits/LeaseTable.js'
import { makeDomainScope } from '../../src/limits/makeLeaseScopes.js'
import { PlaceCaps } from '../../src/limits/PlaceCaps.js'
import { TokenBucket, WINDOW_MILLISECONDS } from '../../src/limits/TokenBucket.js'
import { Counters } from '../../src/observe/Counters.js'
import { MemberState } from '../../src/types/MemberState.js'
import { PlaceState } from '../../src/types/PlaceState.js'
import { MemoryNetwork } from '../membership/MemoryNetwork.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const CAP_PER_SECOND = 40
const STEP_MILLISECONDS = 10
const LOAD_MILLISECONDS = 8_000
const STALL_INTERVAL_MILLISECONDS = 2_000
const HOSTS = ['a', 'b'].map((name) => ({ name, domain: 'gijon', region: 'asturias', peerAddress: name, guestAddress: name }))
const PLACES = new Map([['puerto', { name: 'puerto', failureDomain: 'gijon', region: 'asturias', state: PlaceState.Open }]])

/** Starts hosts that share a cap, and waits until they have leases. */
async function startCaps (context: TestContext): Promise<Map<string, PlaceCaps>> {
  pauseClock(context)
  const network = new MemoryNetwork()
  const capsByHost = new Map<string, PlaceCaps>()
  for (const { name } of HOSTS) {
    const leases = new BudgetLeases({
      self: name,
      scopes: [makeDomainScope('gijon', HOSTS)],
      members: () => HOSTS.map((host) => ({ host, state: MemberState.Alive, incarnation: 1, version: 1, details: { draining: false, sheetNumber: 1, pools: [] } })),
      callPeer: network.callPeer(name),
      registerHandler: network.registerHandler(name),
      log: { info: () => {}, warn: () => {}, error: () => {} },
      counters: new Counters()
    })
    const caps = new PlaceCaps(leases, 'gijon', new Counters())
    caps.updateLimits([{ service: 'reservas', place: 'puerto', requestsPerSecond: CAP_PER_SECOND }], PLACES)
    leases.start()
    context.after(() => { leases.stop() })
    capsByHost.set(name, caps)
  }
  await advance(context, 9_000)
  return capsByHost
}

/** @returns times of the admitted requests under overload of some hosts, which stand still for a while at intervals */
async function admitUnderOverload (context: TestContext, busyNames: readonly string[], stallMilliseconds: number): Promise<number[]> {
  const capsByHost = await startCaps(context)
  const startedAt = performance.now()
  const admittedAt: number[] = []
  while (performance.now() - startedAt < LOAD_MILLISECONDS) {
    const phase = (performance.now() - startedAt + STALL_INTERVAL_MILLISECONDS / 2) % STALL_INTERVAL_MILLISECONDS
    if (phase >= stallMilliseconds) admittedAt.push(...busyNames.filter((name) => capsByHost.get(name)!.tryAdmit('reservas', 'puerto')).map(() => performance.now()))
    await advance(context, STEP_MILLISECONDS)
  }
  return admittedAt
}

function findMaximumPerSecond (times: readonly number[]): number {
  return Math.max(...times.map((last) => times.filter((time) => time > last - 1000 && time <= last).length))
}

// Guards against hosts that lose what they could not dispatch while they stood still.
for (const { busyNames, stallMilliseconds, minimum } of [
  { busyNames: ['a', 'b'], stallMilliseconds: 0, minimum: 284 },
  { busyNames: ['a', 'b'], stallMilliseconds: 100, minimum: 280 },
  { busyNames: ['a', 'b'], stallMilliseconds: 200, minimum: 278 },
  { busyNames: ['a', 'b'], stallMilliseconds: 300, minimum: 270 },
  { busyNames: ['a'], stallMilliseconds: 0, minimum: 250 },
  { busyNames: ['a'], stallMilliseconds: 200, minimum: 247 },
  { busyNames: ['a'], stallMilliseconds: 300, minimum: 233 }
]) {
  test(`of a cap of 40 per second, ${busyNames.join(' and ')} use at least ${minimum} in 8 s with stalls of ${stallMilliseconds} ms, and at most 40 in any second`, async (context) => {
    const admittedAt = await admitUnderOverload(context, busyNames, stallMilliseconds)
    assert.ok(admittedAt.length >= minimum, `${admittedAt.length}`)
    assert.ok(findMaximumPerSecond(admittedAt) <= CAP_PER_SECOND, `${findMaximumPerSecond(admittedAt)}`)
  })
}

const spendSteps = fc.array(fc.record({
  attempts: fc.integer({ min: 1, max: 100 }),
  waitMilliseconds: fc.oneof(fc.constant(10), fc.integer({ min: 1, max: 600 })),
  rate: fc.constantFrom(undefined, undefined, undefined, 3, 40, 200)
}), { minLength: 10, maxLength: 60 })

// Guards against a burst after a stall that exceeds the rate together with what was spent before or after it.
test('a token bucket that catches up passes no more than the highest rate in any second while its rate changes', (context) => {
  pauseClock(context)
  fc.assert(fc.property(spendSteps, (steps) => {
    const bucket = new TokenBucket(1, 0.3)
    bucket.setRate(200)
    const spentAt: number[] = []
    for (const { attempts, waitMilliseconds, rate } of steps) {
      if (rate !== undefined) bucket.setRate(rate)
      for (let index = 0; index < attempts && bucket.canSpend(1); index++) {
        bucket.spend(1)
        spentAt.push(performance.now())
      }
      context.mock.timers.tick(waitMilliseconds)
    }
    assert.ok(findMaximumPerSecond([0, ...spentAt]) <= 200)
  }), { seed: 20261206, numRuns: 300 })
})

test('after a pause without refused spends, a token bucket that may catch up has the usual burst only', (context) => {
  pauseClock(context)
  const bucket = new TokenBucket(1, 0.3)
  bucket.setRate(100)
  bucket.fill()
  bucket.spend(1)
  context.mock.timers.tick(300)
  let spent = 0
  for (; bucket.canSpend(1); spent++) bucket.spend(1)
  assert.equal(spent, 10)
})

// Guards against spends of two hosts within a second after a lease was returned.
test('a returned lease is granted to another host when the last spends of its client are outside of the window', (context) => {
  pauseClock(context)
  const table = new LeaseTable(2)
  table.setBudgets([{ name: 'x', amountPerSecond: 100, unit: 1 }])
  const times = { leaseEndsAt: 4_000, lendEndsAt: 2_000 }
  const greedy = { budget: 'x', wantedPerSecond: 1000, heldPerSecond: 0, lentPerSecond: 0 }
  assert.equal(table.grant('a', greedy, times, false)?.amountPerSecond, 70)
  table.discardLeases('a')
  context.mock.timers.tick(WINDOW_MILLISECONDS - 1)
  assert.equal(table.grant('b', greedy, times, false)?.amountPerSecond, 0)
  context.mock.timers.tick(1)
  assert.equal(table.grant('b', greedy, times, false)?.amountPerSecond, 70)
})
