import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { PlanHistory } from '../../src/follow/PlanHistory.js'
import { applyPlanDelta, diffPlans } from '../../src/plan/PlanDelta.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { createAccount, createPlan, createRoute } from './createPlan.js'

const routes = fc.uniqueArray(fc.record({ index: fc.integer({ min: 0, max: 12 }), mostAttempts: fc.integer({ min: 1, max: 3 }) }), { selector: ({ index }) => index })
  .map((generated) => generated.map(({ index, mostAttempts }) => createRoute({ name: `r${index}`, pathPrefix: `/${index}/`, mostAttempts })))

const comparePathPrefixes = (left: PlanRoute, right: PlanRoute): number => left.pathPrefix < right.pathPrefix ? -1 : 1

test('applying a delta to its base gives the later plan, whatever was added, changed and removed', () => {
  fc.assert(fc.property(routes, routes, (before, after) => {
    const [base, plan] = [createPlan(3, before), createPlan(7, after)]
    const result = applyPlanDelta(base, diffPlans(base, plan))
    assert.deepEqual({ ...result, routes: [...result.routes].sort(comparePathPrefixes) }, { ...plan, routes: [...after].sort(comparePathPrefixes) })
  }))
})

test('a delta is available from each retained plan, and from no other', () => {
  const history = new PlanHistory()
  const many = Array.from({ length: 20 }, (_, number) => createRoute({ name: `r${number}`, pathPrefix: `/${number}/` }))
  for (let version = 1; version <= 12; version += 1) history.record(createPlan(version, many.map((route, number) => number === version ? { ...route, mostAttempts: 9 } : route)))
  assert.equal(history.findDelta(2), undefined)
  assert.deepEqual(history.findDelta(11)?.routes.map(({ name }) => name), ['r11', 'r12'])
  assert.equal(history.findDelta(12), undefined)
})

test('no delta is available for a plan that shares no route with the previous one', () => {
  const history = new PlanHistory()
  history.record(createPlan(1, [createRoute({ pathPrefix: '/old/' })]))
  history.record(createPlan(2, [createRoute({ pathPrefix: '/new/' })]))
  assert.equal(history.findDelta(1), undefined)
})

// Guards against withdrawn keys that stay valid at hosts which receive plans as deltas.
test('a delta carries the accounts that changed, and removes those that are gone', () => {
  const base = { ...createPlan(3), accounts: [createAccount({ keyDigests: ['a', 'b'] }), createAccount({ name: 'kept' }), createAccount({ name: 'gone' })] }
  const plan = { ...createPlan(7), accounts: [createAccount({ name: 'kept' }), createAccount({ keyDigests: ['b'] })] }
  const delta = diffPlans(base, plan)
  assert.deepEqual(delta.accounts, { removed: ['gone'], changed: [createAccount({ keyDigests: ['b'] })] })
  assert.deepEqual(applyPlanDelta(base, delta), plan)
  assert.deepEqual(applyPlanDelta(base, diffPlans(base, createPlan(7))), createPlan(7))
  assert.deepEqual(applyPlanDelta(createPlan(3), diffPlans(createPlan(3), plan)), plan)
})
