import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkPlan } from '../../src/plan/checkPlan.js'
import { inspectPlan } from '../../src/plan/inspection/inspectPlan.js'
import { FindingKind } from '../../src/plan/inspection/PlanFinding.js'
import type { RoutingPlan } from '../../src/plan/RoutingPlan.js'
import { createAccount, createPlan, createRoute } from './createPlan.js'

const capacity = { headBytes: 65_536, bodyBytes: 67_108_864 }

function inspect (plan: RoutingPlan, inForce?: RoutingPlan): Array<[kind: FindingKind, entry: string]> {
  return inspectPlan({ plan, inForce, capacity }).map(({ kind, entry }) => [kind, entry])
}

function inspectRoute (overrides: Parameters<typeof createRoute>[0]): Array<[kind: FindingKind, entry: string]> {
  return inspect(createPlan(1, [createRoute(overrides)]))
}

// Guards against an operator who is told of an error that no host rejects, or not of one that each host rejects.
test('the errors are those for which a control host rejects the plan', () => {
  const plan = createPlan(1, [createRoute({ mostAttempts: 0 }), createRoute()])
  assert.deepEqual(inspect(plan), checkPlan(plan).map(({ name }) => [FindingKind.Error, name]))
  assert.deepEqual(inspect(createPlan(1)), [])
})

// Guards against entries that an operator believes to be in force although no request matches them.
test('entries that can never match are found', () => {
  const route = [[FindingKind.NeverMatches, 'route lookups']]
  assert.deepEqual(inspectRoute({ targets: [{ service: 'inventario', weight: 1 }, { service: 'inventario', weight: 0 }] }), route)
  assert.deepEqual(inspectRoute({ pathPrefix: '/look ups/' }), route)
  assert.deepEqual(inspectRoute({ host: 'stock.example:80' }), route)
  const unused = { ...createPlan(1).services[0]!, name: 'unused' }
  assert.deepEqual(inspect({ ...createPlan(1), services: [...createPlan(1).services, unused] }), [[FindingKind.NeverMatches, 'service unused']])
  assert.deepEqual(inspect({ ...createPlan(1), accounts: [createAccount()] }), [[FindingKind.NeverMatches, 'route lookups'], [FindingKind.NeverMatches, 'account account-1']])
})

// Guards against limits that an operator sets and that another one keeps from taking effect.
test('limits that contradict each other are found', () => {
  const plan = createPlan(1)
  const account = (overrides: Parameters<typeof createAccount>[0]) => inspect({ ...createPlan(1, [createRoute({ homeRegions: ['asturias'] })]), accounts: [createAccount({ keyDigests: ['a'], ...overrides })] })
  const found = [[FindingKind.Contradiction, 'account account-1']]
  assert.deepEqual(inspectRoute({ targetLatencyMilliseconds: 2_000 }), [[FindingKind.Contradiction, 'route lookups']])
  assert.deepEqual(account({}), [])
  assert.deepEqual([account({ requestsPerSecond: 5, burst: 0.5 }), account({ burst: 5 }), account({ homeRegions: ['euskadi'] })], [found, found, found])
  assert.deepEqual(inspect({ ...plan, limits: { ...plan.limits, headerBytes: 70_000, bodyBytes: 70_000_000 } }), [[FindingKind.Contradiction, 'limits'], [FindingKind.Contradiction, 'limits']])
})

// Guards against changes that an operator does not know of, and against keys in a report.
test('each difference from the plan in force is found, field by field and without keys', () => {
  const inForce = { ...createPlan(3, [createRoute(), createRoute({ name: 'old', pathPrefix: '/old/' })]), accounts: [createAccount({ keyDigests: ['secret-1', 'secret-2'] })] }
  const plan = { ...createPlan(7, [createRoute({ timeoutMilliseconds: 900 }), createRoute({ name: 'new', pathPrefix: '/new/' })]), accounts: [createAccount({ keyDigests: ['secret-2'], burst: 3, requestsPerSecond: 2 })] }
  const findings = inspectPlan({ plan, inForce, capacity })
  assert.deepEqual(findings.map(({ entry, message }) => `${entry} ${message.split(':')[0]}`), [
    'route old removed', 'route lookups timeoutMilliseconds', 'route new added', 'account account-1 requestsPerSecond', 'account account-1 burst', 'account account-1 0 keys added, 1 withdrawn'
  ])
  assert.doesNotMatch(JSON.stringify(findings), /secret/)
  assert.deepEqual(inspectPlan({ plan: inForce, inForce, capacity }).map(({ kind, entry }) => [kind, entry]), [[FindingKind.Error, 'version']])
})
