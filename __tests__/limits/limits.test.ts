import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { BudgetLeases } from '../../src/limits/BudgetLeases.js'
import { divideByDemand } from '../../src/limits/divideByDemand.js'
import { VoterPromise } from '../../src/limits/VoterPromise.js'
import { LeaseTable } from '../../src/limits/LeaseTable.js'
import { DEFAULT_LEASE_TIMINGS } from '../../src/limits/LeaseTimings.js'
import { LinkBudgets } from '../../src/limits/LinkBudgets.js'
import { makeHostScopes } from '../../src/limits/makeHostScopes.js'
import { makeDomainScope, makeRegionScope } from '../../src/limits/makeLeaseScopes.js'
import { PlaceCaps } from '../../src/limits/PlaceCaps.js'
import { RampFollower } from '../../src/limits/RampFollower.js'
import { TokenBucket } from '../../src/limits/TokenBucket.js'
import { Counters } from '../../src/observe/Counters.js'
import type { HostIdentity } from '../../src/types/HostIdentity.js'
import type { Member } from '../../src/types/Member.js'
import { MemberState } from '../../src/types/MemberState.js'
import { PlaceState } from '../../src/types/PlaceState.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const SELF: HostIdentity = { name: 'a', domain: 'gijon', region: 'asturias', peerAddress: 'a', guestAddress: 'a' }
const PLACES = new Map([['puerto', { name: 'puerto', failureDomain: 'gijon', region: 'asturias', state: PlaceState.Open }]])

/** Starts the leases of a single host, whose own promise is a quorum. */
function startSingleHost (context: TestContext): { leases: BudgetLeases, counters: Counters } {
  pauseClock(context)
  const counters = new Counters()
  const leases = new BudgetLeases({
    self: 'a',
    scopes: [makeRegionScope('asturias', [SELF]), makeDomainScope('gijon', [SELF])],
    members: () => [{ host: SELF, state: MemberState.Alive, incarnation: 1, version: 1, details: { draining: false, sheetNumber: 1, pools: [] } }],
    callPeer: async () => await Promise.reject(new Error('alone')),
    registerHandler: () => {},
    log: { info: () => {}, warn: () => {}, error: () => {} },
    counters
  })
  leases.start()
  context.after(() => { leases.stop() })
  return { leases, counters }
}

/** @returns the number of attempts that passed in each second, with `attemptsPerStep` attempts every 10 ms */
async function countPassed (context: TestContext, seconds: number, attemptsPerStep: number, attempt: () => boolean): Promise<number[]> {
  const passed: number[] = []
  for (let second = 0; second < seconds; second++) {
    let count = 0
    for (let step = 0; step < 100; step++) {
      for (let index = 0; index < attemptsPerStep; index++) count += attempt() ? 1 : 0
      await advance(context, 10)
    }
    passed.push(count)
  }
  return passed
}

test('link bytes stay within the limit, in both directions of one entry; the local region and links without an entry are not limited', async (context) => {
  const { leases, counters } = startSingleHost(context)
  const links = new LinkBudgets(leases, 'asturias', 1, counters)
  links.updateLimits([{ fromRegion: 'euskadi', toRegion: 'asturias', megabitsPerSecond: 8 }])
  const passed = await countPassed(context, 8, 2, () => links.trySpend('asturias', 'euskadi', 10_000))
  for (const count of passed) assert.ok(count * 10_000 <= 1_000_000, `${passed}`)
  assert.ok(passed.at(-1)! * 10_000 > 850_000, `${passed}`)
  assert.ok(counters.read('limits.refused.link') > 0)
  assert.equal(links.trySpend('asturias', 'asturias', 1e12), true)
  assert.equal(links.trySpend('asturias', 'cantabria', 1e12), true)
})

for (const { hosts, megabits, bytes } of [
  { hosts: 1, megabits: 8, bytes: 978_000 },
  { hosts: 5, megabits: 8, bytes: 890_000 },
  { hosts: 5, megabits: 1, bytes: 62_500 }
]) {
  test(`of a link of ${megabits} Mbit/s, ${hosts} hosts may use ${bytes} bytes per second for requests; the rest is reserved for control traffic`, async (context) => {
    const { leases, counters } = startSingleHost(context)
    const links = new LinkBudgets(leases, 'asturias', hosts, counters)
    links.updateLimits([{ fromRegion: 'asturias', toRegion: 'euskadi', megabitsPerSecond: megabits }])
    const passed = await countPassed(context, 4, 10, () => links.trySpend('asturias', 'euskadi', 1_000))
    assert.ok(Math.max(...passed) * 1_000 <= bytes, `${passed}`)
    assert.ok(passed.at(-1)! * 1_000 > bytes * 0.7, `${passed}`)
    assert.deepEqual(links.listUse(), [{ fromRegion: 'asturias', toRegion: 'euskadi', bytesPerSecond: bytes, sentBytes: passed.reduce((sum, count) => sum + count) * 1_000 }])
  })
}

test('a sudden shift of requests to a place is admitted gradually, up to its cap, and again so after a quiet period', async (context) => {
  const { leases, counters } = startSingleHost(context)
  const caps = new PlaceCaps(leases, 'gijon', counters)
  caps.updateLimits([{ service: 'reservas', place: 'puerto', requestsPerSecond: 400 }], PLACES)
  await advance(context, 6000)
  const tryAdmit = (): boolean => caps.tryAdmit('reservas', 'puerto')
  const passed = await countPassed(context, 14, 10, tryAdmit)
  assert.ok(passed[0]! >= 150 && passed[0]! <= 250, `${passed}`)
  for (let second = 1; second < passed.length; second++) assert.ok(passed[second]! - passed[second - 1]! <= 60, `${passed}`)
  assert.ok(passed.at(-1)! > 340 && passed.at(-1)! <= 400, `${passed}`)
  assert.ok(counters.read('limits.refused.ramp') > 0)

  await advance(context, 20_000)
  const [first] = await countPassed(context, 1, 10, tryAdmit)
  assert.ok(first! <= 250, `${first}`)
})

test('the next owner of a pool continues from the ramp of the previous one, and its ramp closes during low use', async (context) => {
  const { leases, counters } = startSingleHost(context)
  const caps = new PlaceCaps(leases, 'gijon', counters)
  caps.updateLimits([{ service: 'reservas', place: 'puerto', requestsPerSecond: 400 }], PLACES)
  await advance(context, 6000)
  const follower = new RampFollower({ ...SELF, name: 'b' }, (service, openShare) => { caps.follow(service, 'puerto', openShare) })
  const makeOwner = (version: number, domain: string, openShare: number): Member => ({
    host: { ...SELF, domain }, state: MemberState.Alive, incarnation: 1, version, details: { draining: false, sheetNumber: 1, pools: [{ service: 'reservas', upstreams: 1, slots: 9, freeSlots: 9, openShare }] }
  })
  follower.update([makeOwner(1, 'oviedo', 1)])
  assert.equal(caps.openShare('reservas', 'puerto'), 0.5, 'the ramp of another place must not affect this one')
  follower.update([makeOwner(1, 'gijon', 0.9)])
  const [first] = await countPassed(context, 1, 10, () => caps.tryAdmit('reservas', 'puerto'))
  assert.ok(first! >= 300 && first! <= 400, `${first}`)
  await advance(context, 20_000)
  follower.update([makeOwner(1, 'gijon', 0.9)])
  const [later] = await countPassed(context, 1, 10, () => caps.tryAdmit('reservas', 'puerto'))
  assert.ok(later! <= 250, `an old record must not be applied twice: ${later}`)
  follower.update([makeOwner(2, 'gijon', 0.1)])
  assert.ok(caps.openShare('reservas', 'puerto')! >= 0.5)
})

test('a low rate is never refused, not even directly after the start', async (context) => {
  const { leases, counters } = startSingleHost(context)
  const caps = new PlaceCaps(leases, 'gijon', counters)
  caps.updateLimits([{ service: 'reservas', place: 'puerto', requestsPerSecond: 400 }], PLACES)
  for (let second = 0; second < 5; second++) {
    for (let request = 0; request < 40; request++) {
      assert.equal(caps.tryAdmit('reservas', 'puerto'), true)
      await advance(context, 20)
    }
  }
})

test('places of other domains and services without a cap are not limited here', async (context) => {
  const { leases, counters } = startSingleHost(context)
  const caps = new PlaceCaps(leases, 'gijon', counters)
  caps.updateLimits([{ service: 'reservas', place: 'elsewhere', requestsPerSecond: 1 }], PLACES)
  for (let request = 0; request < 100; request++) assert.equal(caps.tryAdmit('reservas', 'elsewhere'), true)
})

test('a restarted voter promises nothing until the promises of its previous run have ended', (context) => {
  pauseClock(context)
  const promise = new VoterPromise(DEFAULT_LEASE_TIMINGS)
  const request = { scope: 's', candidate: 'a', candidacy: 'a:1' }
  assert.equal(promise.handle(request).promised, false)
  context.mock.timers.tick(DEFAULT_LEASE_TIMINGS.promiseMilliseconds)
  assert.equal(promise.handle(request).promised, true)
  assert.equal(promise.handle({ ...request, candidate: 'b', candidacy: 'b:1' }).promised, false)
  promise.release('a:0')
  assert.equal(promise.holder, 'a')
  promise.release('a:1')
  assert.equal(promise.handle({ ...request, candidate: 'b', candidacy: 'b:1' }).promised, true)
})

test('a delayed request does not change the recorded lease of its client', (context) => {
  pauseClock(context)
  const book = new LeaseTable(2)
  book.setBudgets([{ name: 'x', amountPerSecond: 100, unit: 1 }])
  assert.equal(book.acceptSerial('a', 2), true)
  const times = { leaseEndsAt: 3000, lendEndsAt: 2000 }
  const greedy = { budget: 'x', wantedPerSecond: 1000, heldPerSecond: 0, lentPerSecond: 0 }
  assert.equal(book.grant('a', greedy, times, false)?.amountPerSecond, 70)
  assert.equal(book.acceptSerial('a', 1), false)
  assert.equal(book.acceptSerial('a', 2), false)
  assert.equal(book.grant('b', greedy, times, false)?.amountPerSecond, 0)
  context.mock.timers.tick(3000)
  assert.equal(book.grant('b', greedy, times, false)?.amountPerSecond, 70)
})

test('a loan can be leased out until it ends, and a held lease is not reduced at the start of a term', (context) => {
  pauseClock(context)
  const book = new LeaseTable(2)
  book.setBudgets([{ name: 'x', amountPerSecond: 100, unit: 1 }])
  const lender = { budget: 'x', wantedPerSecond: 0, heldPerSecond: 0, lentPerSecond: 13 }
  const busy = { budget: 'x', wantedPerSecond: 1000, heldPerSecond: 83, lentPerSecond: 0 }
  const times = { leaseEndsAt: 3000, lendEndsAt: 2000 }
  assert.equal(book.grant('b', busy, times, true), undefined)
  book.grant('a', lender, times, true)
  assert.equal(book.grant('b', busy, times, true)?.amountPerSecond, 83)
  context.mock.timers.tick(2000)
  assert.equal(book.grant('b', busy, { leaseEndsAt: 5000, lendEndsAt: 2000 }, false)?.amountPerSecond, 70)
})

test('divided amounts never exceed the total or the desired amounts, and nothing is left while a consumer desires more', () => {
  fc.assert(fc.property(fc.nat(1000), fc.array(fc.nat(500), { minLength: 1, maxLength: 8 }), (amount, desiredAmounts) => {
    const shares = divideByDemand(amount, desiredAmounts)
    const given = shares.reduce((sum, share) => sum + share, 0)
    const wanted = desiredAmounts.reduce((sum, want) => sum + want, 0)
    assert.ok(shares.every((share, index) => share <= desiredAmounts[index]!))
    assert.ok(Math.abs(given - Math.min(amount, wanted)) < 1e-6)
  }), { seed: 20261204 })
})

const spendSteps = fc.array(fc.record({
  amount: fc.integer({ min: 1, max: 20 }),
  attempts: fc.integer({ min: 1, max: 40 }),
  waitMilliseconds: fc.integer({ min: 1, max: 400 }),
  rate: fc.constantFrom(undefined, undefined, undefined, 40, 120, 200)
}), { minLength: 10, maxLength: 60 })

test('a token bucket passes no more than the highest rate in any second while its rate changes', (context) => {
  pauseClock(context)
  fc.assert(fc.property(spendSteps, (steps) => {
    const bucket = new TokenBucket(20)
    bucket.setRate(200)
    const spends: Array<{ at: number, amount: number }> = []
    for (const step of steps) {
      if (step.rate !== undefined) bucket.setRate(step.rate)
      for (let index = 0; index < step.attempts && bucket.canSpend(step.amount); index++) {
        bucket.spend(step.amount)
        spends.push({ at: performance.now(), amount: step.amount })
      }
      context.mock.timers.tick(step.waitMilliseconds)
    }
    for (const last of spends) {
      const sum = spends.filter((spend) => spend.at > last.at - 1000 && spend.at <= last.at).reduce((total, spend) => total + spend.amount, 0)
      assert.ok(sum <= 200.001, `${sum}`)
    }
  }), { seed: 20261204, numRuns: 200 })
})

test('a host votes in the scopes of its region and of every domain of its region, and in no other', () => {
  const other = { ...SELF, name: 'b', domain: 'oviedo' }
  const far = { ...SELF, name: 'c', domain: 'bilbao', region: 'euskadi' }
  const scopes = makeHostScopes(SELF, [SELF, other, far])
  assert.deepEqual(scopes.map((scope) => scope.name), ['region:asturias', 'domain:gijon', 'domain:oviedo'])
  assert.deepEqual(scopes.map((scope) => scope.consumers), [['a', 'b'], ['a'], ['b']])
  assert.deepEqual(scopes.map((scope) => scope.voters), [['a', 'b'], ['a', 'b'], ['a', 'b']])
})
