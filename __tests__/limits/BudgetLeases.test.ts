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

test('one holder is chosen, and the whole budget but no more is spent by busy hosts', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000)
  assert.equal(spenders.listHolders().length, 1)
  const since = performance.now()
  await spendFor(context, spenders, 5000)
  assert.ok(spenders.sumSpentSince(since) > 0.85 * 5 * BUDGET_PER_SECOND, `${spenders.sumSpentSince(since)}`)
  assert.ok(spenders.findMaximumPerSecond() <= BUDGET_PER_SECOND, `${spenders.findMaximumPerSecond()}`)
})

test('a single busy host gets nearly all, as the others lend their static shares', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000, ['b'])
  const since = performance.now()
  await spendFor(context, spenders, 2000, ['b'])
  assert.ok(spenders.sumSpentSince(since) > 0.85 * 2 * BUDGET_PER_SECOND, `${spenders.sumSpentSince(since)}`)
})

test('when the busy host changes, the budget follows within two seconds', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000, ['b'])
  await spendFor(context, spenders, 2000, ['c'])
  const since = performance.now()
  await spendFor(context, spenders, 1000, ['c'])
  assert.ok(spenders.sumSpentSince(since) > 0.6 * BUDGET_PER_SECOND, `${spenders.sumSpentSince(since)}`)
  assert.ok(spenders.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('when the holder dies, another takes over before the leases end', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000)
  const [holder] = spenders.listHolders()
  spenders.kill(holder!)
  let minimumRate = Infinity
  for (let step = 0; step < 30; step++) {
    await spendFor(context, spenders, 200)
    minimumRate = Math.min(minimumRate, spenders.listRates().reduce((sum, rate) => sum + rate, 0))
  }
  assert.equal(spenders.listHolders().length, 1)
  assert.ok(minimumRate > 0.7 * BUDGET_PER_SECOND, `${minimumRate}`)
  assert.ok(spenders.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('a part without a quorum is left with its static shares, the other part goes on', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000)
  spenders.network.split(['a', 'b'], ['c', 'd', 'e'])
  spenders.setView(['a', 'b'], ['a', 'b'])
  spenders.setView(['c', 'd', 'e'], ['c', 'd', 'e'])
  await spendFor(context, spenders, 10_000)
  assert.deepEqual(spenders.listRates().slice(0, 2), [60, 60])
  assert.ok(spenders.listRates().slice(2).reduce((sum, rate) => sum + rate, 0) > 0.85 * BUDGET_PER_SECOND)
  assert.ok(spenders.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('a lease that ended during a freeze is not spent after it', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000)
  spenders.stall('c')
  await spendFor(context, spenders, 7000)
  assert.equal(spenders.listRates()[2], 60)
  spenders.resume('c')
  await spendFor(context, spenders, 1000)
  assert.ok(spenders.findMaximumPerSecond() <= BUDGET_PER_SECOND)
})

test('a holder that leaves hands over at once', async (context) => {
  const spenders = startConsumers(context)
  await spendFor(context, spenders, 8000)
  const [holder] = spenders.listHolders()
  const left = spenders.leasesByHost.get(holder!)!.leave()
  spenders.setView(HOST_NAMES, HOST_NAMES.filter((name) => name !== holder))
  await spendFor(context, spenders, 800)
  await left
  assert.equal(spenders.listHolders().length, 1)
  assert.notEqual(spenders.listHolders()[0], holder)
})

const HOSTS = [
  { name: 'a', domain: 'gijon' }, { name: 'b', domain: 'gijon' },
  { name: 'c', domain: 'oviedo' }, { name: 'd', domain: 'oviedo' }, { name: 'e', domain: 'oviedo' }
].map((host) => ({ ...host, region: 'asturias', peerAddress: host.name, guestAddress: host.name }))

test('a cut-off domain whose hosts are all there goes on sharing, and so does one host whose region is there', async (context) => {
  const spenders = startConsumers(context, makeDomainScope('gijon', HOSTS))
  await spendFor(context, spenders, 4000)
  spenders.network.split(['a', 'b'], ['c', 'd', 'e'])
  await spendFor(context, spenders, 8000)
  assert.equal(spenders.listHolders().length, 1)
  spenders.network.heal()
  spenders.kill('a')
  await spendFor(context, spenders, 8000)
  assert.deepEqual(spenders.listHolders(), ['b'])
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

test('under freezes, splits, wrong views, losses and restarts no second ever sees more than the budget', async (context) => {
  pauseClock(context)
  await fc.assert(fc.asyncProperty(faultSchedules, async (schedule) => {
    const spenders = new StandInConsumers(SCOPE, BUDGET_PER_SECOND)
    try {
      await spendFor(context, spenders, 7000, [...schedule[0]!.busyNames])
      for (const fault of schedule) {
        injectFault(spenders, fault)
        await spendFor(context, spenders, fault.waitMilliseconds, fault.busyNames)
      }
      for (const name of HOST_NAMES) spenders.resume(name)
      await spendFor(context, spenders, 2000)
      const restartCount = schedule.filter((fault) => fault.kind === 'restart').length
      const maximumSpent = spenders.findMaximumPerSecond()
      assert.ok(maximumSpent <= BUDGET_PER_SECOND + restartCount * BUDGET_PER_SECOND * 0.005 + HOST_NAMES.length, `${maximumSpent} in one second`)
    } finally {
      spenders.stop()
      spenders.network.heal()
    }
  }), { seed: 20261204, numRuns: 20 })
})
