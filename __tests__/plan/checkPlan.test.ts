import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkPlan } from '../../src/plan/checkPlan.js'
import { PlanProblem } from '../../src/plan/PlanFault.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import { createAccount, createPlan, createRoute } from './createPlan.js'

const faultyRoutes: Array<[problem: PlanProblem, overrides: Partial<PlanRoute>]> = [
  [PlanProblem.UnknownService, { targets: [{ service: 'nowhere', weight: 1 }] }],
  [PlanProblem.NegativeWeight, { targets: [{ service: 'inventario', weight: 1 }, { service: 'inventario', weight: -1 }] }],
  [PlanProblem.NoWeight, { targets: [{ service: 'inventario', weight: 0 }] }],
  [PlanProblem.NoAttempts, { mostAttempts: 0 }],
  [PlanProblem.BadPrefix, { pathPrefix: 'lookups/' }],
  [PlanProblem.BadPrefix, { pathPrefix: '/lookups' }],
  [PlanProblem.BadTimeout, { timeoutMilliseconds: 0 }]
]

test('a plan without faults passes the check', () => {
  assert.deepEqual(checkPlan(createPlan(1)), [])
})

for (const [problem, overrides] of faultyRoutes) {
  test(`a route with ${problem} (${JSON.stringify(overrides)}) is reported with its fault`, () => {
    const faults = checkPlan(createPlan(1, [createRoute(), createRoute({ name: 'faulty', pathPrefix: '/other/', ...overrides })]))
    assert.deepEqual(faults.map((fault) => [fault.problem, fault.name]), [[problem, 'faulty']])
  })
}

test('two routes with the same host and prefix are a fault, the same prefix on two hosts is none', () => {
  const duplicateRoutes = [createRoute(), createRoute({ name: 'again' })]
  assert.deepEqual(checkPlan(createPlan(1, duplicateRoutes)).map(({ problem }) => problem), [PlanProblem.DuplicateRoute])
  assert.deepEqual(checkPlan(createPlan(1, [createRoute(), createRoute({ name: 'other', host: 'other.example' })])), [])
})

test('all faults are reported together', () => {
  const faults = checkPlan(createPlan(1, [createRoute({ mostAttempts: 0, pathPrefix: 'x' }), createRoute({ name: 'b', targets: [] })]))
  assert.deepEqual(faults.map(({ problem }) => problem).sort(), [PlanProblem.BadPrefix, PlanProblem.NoAttempts, PlanProblem.NoWeight].sort())
})

// Guards against a plan in which the account of a request is ambiguous.
test('two accounts with the same name or the same key are a fault, as is a negative quota', () => {
  const check = (...accounts: Array<Parameters<typeof createAccount>[0]>): PlanProblem[] => checkPlan({ ...createPlan(1), accounts: accounts.map(createAccount) }).map(({ problem }) => problem)
  assert.deepEqual(check({ keyDigests: ['a', 'b', 'b'] }, { name: 'other', keyDigests: ['c'] }), [])
  assert.deepEqual(check({ keyDigests: ['a'] }, { keyDigests: ['b'] }), [PlanProblem.DuplicateAccount])
  assert.deepEqual(check({ keyDigests: ['a', 'b'] }, { name: 'other', keyDigests: ['b'] }), [PlanProblem.SharedKey, PlanProblem.SharedKey])
  assert.deepEqual(check({ requestsPerSecond: -1 }), [PlanProblem.NegativeQuota])
})
