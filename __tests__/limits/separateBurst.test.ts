import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { Budget } from '../../src/limits/Budget.js'
import { LeasedBudget } from '../../src/limits/LeasedBudget.js'
import { LeaseTable } from '../../src/limits/LeaseTable.js'
import { TokenBucket } from '../../src/limits/TokenBucket.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const CONSUMERS = 6
const BUDGET: Budget = { name: 'account', amountPerSecond: 60, unit: 1, burst: 30, roundingAllowance: 2, demandWindowMilliseconds: 1_000 }
/** 0.3 of the budget, divided evenly. */
const STATIC_RATE = 3

function createBudget (context: TestContext): LeasedBudget {
  pauseClock(context)
  return new LeasedBudget(BUDGET, CONSUMERS)
}

// Guards against quotas of which a part of the rate is lost, and against buckets that hold more than the burst.
test('a bucket with a separate burst refills at its full rate, up to the burst', async (context) => {
  pauseClock(context)
  const bucket = new TokenBucket(1)
  bucket.setRate(10, performance.now(), 25)
  await advance(context, 1_000)
  assert.equal(Math.round(bucket.balance), 10)
  await advance(context, 10_000)
  assert.equal(bucket.balance, 25)
})

test('a budget with a separate burst begins with one unit and gets its part of the burst by its rate', async (context) => {
  const budget = createBudget(context)
  assert.equal(budget.spendUpTo(100), 1)
  await advance(context, 10_000)
  assert.equal(budget.available, Math.floor(30 * STATIC_RATE / 60 + 2))
  budget.applyLease(27, performance.now() + 4_000)
  await advance(context, 3_000)
  assert.equal(budget.available, 30 * 30 / 60 + 2)
  await advance(context, 1_010)
  assert.equal(budget.available, Math.floor(30 * STATIC_RATE / 60 + 2), 'the part of an ended lease is lost')
})

// Guards against a lowered quota that leases of the former one exceed until they are renewed.
test('a lowered budget with a separate burst lowers the lease in proportion', (context) => {
  const budget = createBudget(context)
  budget.applyLease(20, performance.now() + 4_000)
  budget.resize({ ...BUDGET, amountPerSecond: 30 })
  assert.equal(budget.heldPerSecond, 10)
  budget.resize({ ...BUDGET, amountPerSecond: 120 })
  assert.equal(budget.heldPerSecond, 10)
})

// Guards against shares that follow tokens which were taken in advance.
test('amounts that are spent in advance are no demand', async (context) => {
  const budget = createBudget(context)
  await advance(context, 2_000)
  const idle = budget.wantedPerSecond
  assert.ok(budget.spendUpTo(3) > 0)
  assert.equal(budget.wantedPerSecond, idle)
  budget.recordDemand(30)
  assert.ok(budget.wantedPerSecond > idle)
})

test('the wait for an amount is told by the present rate, or by an even share if that is more', (context) => {
  const budget = createBudget(context)
  budget.spendUpTo(1)
  assert.equal(budget.computeWait(1), 100)
  budget.applyLease(17, performance.now() + 4_000)
  assert.equal(budget.computeWait(1), 50)
})

// Guards against changed shares of place caps and link budgets, which keep what nobody wants.
test('what no client wants is divided evenly only for budgets with a separate burst', (context) => {
  pauseClock(context)
  const grant = (budget: Budget): number => {
    const table = new LeaseTable(CONSUMERS)
    table.setBudgets([budget])
    return table.grant('a:1', { budget: budget.name, wantedPerSecond: 6, heldPerSecond: 0, lentPerSecond: 0 }, { leaseEndsAt: 4_000, lendEndsAt: 0 }, false)!.amountPerSecond
  }
  assert.equal(grant({ name: 'cap', amountPerSecond: 60, unit: 1 }), 6)
  assert.equal(grant(BUDGET), 12)
})
