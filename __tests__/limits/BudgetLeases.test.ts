import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { makeDomainScope } from '../../src/limits/makeLeaseScopes.js'
import type { LeaseScope } from '../../src/limits/LeaseScope.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { StandInConsumers } from './StandInConsumers.js'

const BUDGET_PER_SECOND = 1000
const STEP_MILLISECONDS = 20
const HOST_NAMES = ['a', 'b', 'c', 'd', 'e']
const SCOPE: LeaseScope = { name: 'region:asturias', consumers: HOST_NAMES, voters: HOST_NAMES, isQuorum: (promised) => promised.size >= 3 }

async function spendFor (context: TestContext, consumers: StandInConsumers, milliseconds: number, hostNames?: readonly string[]): Promise<void> {
  for (let elapsedMilliseconds = 0; elapsedMilliseconds < milliseconds; elapsedMilliseconds += STEP_MILLISECONDS) {
    consumers.spend(hostNames)
    await advance(context, STEP_MILLISECONDS)
  }
}

function startConsumers (context: TestContext, scope = SCOPE): StandInConsumers {
  pauseClock(context)
  const consumers = new StandInConsumers(scope, BUDGET_PER_SECOND)
  context.after(() => { consumers.stop() })
  return consumers
}

test('one holder is elected, and busy hosts spend the full budget but no more', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000)
  assert.equal(consumers.listHolders().length, 1)
  const since = performance.now()
  await spendFor(context, consumers, 5000)
  assert.ok(consumers.sumSpentSince(since) > 0.85 * 5 * BUDGET_PER_SECOND, `${consumers.sumSpentSince(since)}`)
  assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND, `${consumers.findMaximumPerSecond()}`)
})

test('a single busy host gets nearly the full budget, as the others lend their static shares', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000, ['b'])
  const since = performance.now()
  await spendFor(context, consumers, 2000, ['b'])
  assert.ok(consumers.sumSpentSince(since) > 0.85 * 2 * BUDGET_PER_SECOND, `${consumers.sumSpentSince(since)}`)
})

test('when demand moves to another host, the budget follows within two seconds', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000, ['b'])
  await spendFor(context, consumers, 2000, ['c'])
  const since = performance.now()
  await spendFor(context, consumers, 1000, ['c'])
  assert.ok(consumers.sumSpentSince(since) > 0.6 * BUDGET_PER_SECOND, `${consumers.sumSpentSince(since)}`)
  assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('when the holder dies, another host takes over before the leases end', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000)
  const [holder] = consumers.listHolders()
  consumers.kill(holder!)
  let minimumRate = Infinity
  for (let step = 0; step < 30; step++) {
    await spendFor(context, consumers, 200)
    minimumRate = Math.min(minimumRate, consumers.listRates().reduce((sum, rate) => sum + rate, 0))
  }
  assert.equal(consumers.listHolders().length, 1)
  assert.ok(minimumRate > 0.7 * BUDGET_PER_SECOND, `${minimumRate}`)
  assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('in a partition, the part without a quorum is left with its static shares, and the other part continues', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000)
  consumers.network.split(['a', 'b'], ['c', 'd', 'e'])
  consumers.setView(['a', 'b'], ['a', 'b'])
  consumers.setView(['c', 'd', 'e'], ['c', 'd', 'e'])
  await spendFor(context, consumers, 10_000)
  assert.deepEqual(consumers.listRates().slice(0, 2), [60, 60])
  assert.ok(consumers.listRates().slice(2).reduce((sum, rate) => sum + rate, 0) > 0.85 * BUDGET_PER_SECOND)
  assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('a lease that ended while the process was stalled is not spent afterwards', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000)
  consumers.stall('c')
  await spendFor(context, consumers, 7000)
  assert.equal(consumers.listRates()[2], 60)
  consumers.resume('c')
  await spendFor(context, consumers, 1000)
  assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('a holder that leaves is replaced at once', async (context) => {
  const consumers = startConsumers(context)
  await spendFor(context, consumers, 8000)
  const [holder] = consumers.listHolders()
  const left = consumers.leasesByHost.get(holder!)!.leave()
  consumers.setView(HOST_NAMES, HOST_NAMES.filter((name) => name !== holder))
  await spendFor(context, consumers, 800)
  await left
  assert.equal(consumers.listHolders().length, 1)
  assert.notEqual(consumers.listHolders()[0], holder)
})

const HOSTS = [
  { name: 'a', domain: 'gijon' }, { name: 'b', domain: 'gijon' },
  { name: 'c', domain: 'oviedo' }, { name: 'd', domain: 'oviedo' }, { name: 'e', domain: 'oviedo' }
].map((host) => ({ ...host, region: 'asturias', peerAddress: host.name, guestAddress: host.name }))

test('a cut-off domain with all its hosts keeps sharing, and so does a single host with a majority of its region', async (context) => {
  const consumers = startConsumers(context, makeDomainScope('gijon', HOSTS))
  await spendFor(context, consumers, 4000)
  consumers.network.split(['a', 'b'], ['c', 'd', 'e'])
  await spendFor(context, consumers, 8000)
  assert.equal(consumers.listHolders().length, 1)
  consumers.network.heal()
  consumers.kill('a')
  await spendFor(context, consumers, 8000)
  assert.deepEqual(consumers.listHolders(), ['b'])
})

const names = fc.constantFrom(...HOST_NAMES)
const faultSchedules = fc.array(fc.record({
  kind: fc.constantFrom('freeze', 'freeze', 'thaw', 'split', 'views', 'heal', 'restart', 'lossy'),
  name: names,
  visibleNames: fc.subarray(HOST_NAMES),
  busyNames: fc.oneof(fc.constant(HOST_NAMES), fc.subarray(HOST_NAMES)),
  waitMilliseconds: fc.integer({ min: 20, max: 4500 })
}), { minLength: 4, maxLength: 10 })
type Fault = (typeof faultSchedules) extends fc.Arbitrary<Array<infer Element>> ? Element : never

function injectFault (consumers: StandInConsumers, fault: Fault): void {
  const otherNames = HOST_NAMES.filter((name) => !fault.visibleNames.includes(name))
  if (fault.kind === 'freeze') consumers.stall(fault.name)
  if (fault.kind === 'thaw') for (const name of HOST_NAMES) consumers.resume(name)
  if (fault.kind === 'split') consumers.network.split(fault.visibleNames, otherNames)
  if (fault.kind === 'views') consumers.setView([fault.name, ...otherNames], fault.visibleNames)
  if (fault.kind === 'lossy') consumers.network.isLost = (from, to) => from === fault.name || to === fault.name
  if (fault.kind === 'restart') {
    consumers.kill(fault.name)
    consumers.start([fault.name])
  }
  if (fault.kind === 'heal') {
    consumers.network.heal()
    consumers.network.isLost = () => false
    consumers.setView(HOST_NAMES, HOST_NAMES)
  }
}

for (const { name, catchUpSeconds } of [
  { name: 'under stalls, partitions, wrong views, message loss and restarts, no more than the budget is spent in any second', catchUpSeconds: 0 },
  { name: 'also when hosts catch up after stalls, no more than the budget is spent in any second', catchUpSeconds: 0.3 }
]) {
  test(name, async (context) => {
    pauseClock(context)
    await fc.assert(fc.asyncProperty(faultSchedules, async (schedule) => {
      const consumers = new StandInConsumers(SCOPE, BUDGET_PER_SECOND, catchUpSeconds)
      try {
        await spendFor(context, consumers, 7000, [...schedule[0]!.busyNames])
        for (const fault of schedule) {
          injectFault(consumers, fault)
          await spendFor(context, consumers, fault.waitMilliseconds, fault.busyNames)
        }
        for (const name of HOST_NAMES) consumers.resume(name)
        await spendFor(context, consumers, 2000)
        const restartCount = schedule.filter((fault) => fault.kind === 'restart').length
        const maximumSpent = consumers.findMaximumPerSecond()
        assert.ok(maximumSpent <= BUDGET_PER_SECOND + restartCount * BUDGET_PER_SECOND * 0.005 + HOST_NAMES.length, `${maximumSpent} in one second`)
      } finally {
        consumers.stop()
        consumers.network.heal()
      }
    }), { seed: 20261204, numRuns: 20 })
  })
}

const stallSchedules = fc.array(fc.record({
  stalledNames: fc.oneof(fc.constant(HOST_NAMES), fc.subarray(HOST_NAMES, { minLength: 1 })),
  stallMilliseconds: fc.integer({ min: 2, max: 20 }).map((steps) => steps * STEP_MILLISECONDS),
  busyNames: fc.oneof(fc.constant(HOST_NAMES), fc.subarray(HOST_NAMES)),
  waitMilliseconds: fc.integer({ min: 1, max: 40 }).map((steps) => steps * STEP_MILLISECONDS)
}), { minLength: 10, maxLength: 30 })

// Guards against a host that catches up after a stall while another one gets its lease.
test('while demand moves among hosts that stall for a moment, no more than the budget is spent in any second', async (context) => {
  pauseClock(context)
  await fc.assert(fc.asyncProperty(stallSchedules, async (schedule) => {
    const consumers = new StandInConsumers(SCOPE, BUDGET_PER_SECOND, 0.3)
    try {
      await spendFor(context, consumers, 7000)
      for (const { stalledNames, stallMilliseconds, busyNames, waitMilliseconds } of schedule) {
        for (const name of stalledNames) consumers.stall(name)
        await spendFor(context, consumers, stallMilliseconds, busyNames)
        for (const name of stalledNames) consumers.resume(name)
        await spendFor(context, consumers, waitMilliseconds, busyNames)
      }
      assert.ok(consumers.findMaximumPerSecond() <= BUDGET_PER_SECOND + HOST_NAMES.length, `${consumers.findMaximumPerSecond()} in one second`)
    } finally {
      consumers.stop()
    }
  }), { seed: 20261206, numRuns: 20 })
})
