import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decodePlan } from '../../platform/wire/decodePlan.js'
import { checkPlan } from '../../src/plan/checkPlan.js'
import { PlanEntryKind, type PlanSubmission } from '../../src/plan/PlanEntry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { PlanState } from '../../src/plan/PlanState.js'
import type { RouteTarget, RoutingPlan } from '../../src/plan/RoutingPlan.js'

type Fields = Record<string, unknown>

interface Table {
  columns: string[]
  rows: unknown[][]
}

const MANY_ROUTES = 10_000
const NESTING_DEPTH = 200_000
const ROUTE: Fields = { name: 'r', host: 'a.example', path_prefix: '/a/', route_type: 'idempotent', timeout_s: 1, target_latency_s: 0.4, priority: 1, service: 's', max_attempts: 2, sticky: true, home_regions: [], traffic_split: null }
const SERVICE: Fields = { name: 's', health_path: '/health', max_connections: 660, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 4.9 }
const OTHER_SERVICE = { ...SERVICE, name: 't' }

/** @returns columns and rows of objects that have the same fields */
function composeTable (rows: Fields[], columns = Object.keys(rows[0] ?? {})): Table {
  return { columns, rows: rows.map((row) => columns.map((column) => row[column])) }
}

function composeDocument (changes: Fields = {}): Fields {
  return {
    version: '0000000c',
    routes: composeTable([ROUTE]),
    services: composeTable([SERVICE, OTHER_SERVICE]),
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 },
    base_version: '00000005',
    ...changes
  }
}

function composeRoutes (...changes: Fields[]): Fields {
  return composeDocument({ routes: composeTable(changes.map((fields) => ({ ...ROUTE, ...fields }))) })
}

function omitColumns (fields: Fields, omitted: string[]): string[] {
  return Object.keys(fields).filter((column) => !omitted.includes(column))
}

/** @returns the plan, or the reason why it is refused */
function judge (text: string): RoutingPlan | string {
  const submission = decodePlan(text)
  if (typeof submission === 'string') return submission
  const faults = checkPlan(submission.plan)
  return faults.length > 0 ? JSON.stringify(faults) : submission.plan
}

const splitOf = (...weights: number[]): Fields => ({ service: null, traffic_split: weights.map((weight, index) => ({ service: index === 0 ? 's' : 't', weight })) })

const valid: Array<[name: string, document: Fields]> = [
  ['one route and two services', composeDocument()],
  ['no route and no service', composeDocument({ routes: { columns: [], rows: [] }, services: { columns: [], rows: [] } })],
  ['services that no route uses, and no route', composeDocument({ routes: { columns: Object.keys(ROUTE), rows: [] } })],
  ['null in the optional columns', composeRoutes({ sticky: null, home_regions: null, traffic_split: null })],
  ['no optional columns', composeDocument({ routes: composeTable([ROUTE], omitColumns(ROUTE, ['sticky', 'home_regions', 'traffic_split'])), services: composeTable([SERVICE], omitColumns(SERVICE, ['protocol', 'tls', 'cold_start_s', 'cold_per_s'])) })],
  ['no column of services in routes that split traffic', composeDocument({ routes: composeTable([{ ...ROUTE, ...splitOf(1, 2) }], omitColumns(ROUTE, ['service'])) })],
  ['columns in another order', composeDocument({ routes: composeTable([ROUTE], Object.keys(ROUTE).toReversed()) })],
  ['further columns and fields', composeDocument({ routes: composeTable([{ ...ROUTE, note: { deep: [1] } }]), services: composeTable([{ ...SERVICE, note: 'x' }]), limits: { ...composeDocument().limits as Fields, note: 1 }, note: [] })],
  ['a weight of 0 beside another', composeRoutes(splitOf(0, 5))],
  ['a split with one service', composeRoutes(splitOf(7))],
  ['fractions as weights', composeRoutes(splitOf(0.25, 0.75))],
  ['a split that names a service twice', composeRoutes({ service: null, traffic_split: [{ service: 's', weight: 1 }, { service: 's', weight: 2 }] })],
  ['a service beside a split', composeRoutes({ ...splitOf(1, 1), service: 's' })],
  ['a service beside an empty split', composeRoutes({ service: 's', traffic_split: [] })],
  ['names beyond ASCII', composeDocument({ routes: composeTable([{ ...ROUTE, name: 'ñandú 🦤', host: 'ñ.example', path_prefix: '/año/🦤/', service: 'café' }]), services: composeTable([{ ...SERVICE, name: 'café' }]) })],
  ['the prefix of all paths', composeRoutes({ path_prefix: '/' })],
  ['prefixes within each other, and the same one on two hosts', composeRoutes({}, { path_prefix: '/a/b/' }, { path_prefix: '/' }, { host: 'b.example' })],
  ['the name of a route twice', composeRoutes({}, { path_prefix: '/b/' })],
  ['the largest version', composeDocument({ version: 'ffffffff', base_version: 'fffffffe' })],
  ['a version with capital digits', composeDocument({ version: '0000ABCD' })],
  ['no base', composeDocument({ base_version: undefined })],
  ['null as the base', composeDocument({ base_version: null })],
  ['the first base', composeDocument({ base_version: '00000000' })],
  ['one attempt', composeRoutes({ max_attempts: 1 })],
  ['very many routes', composeRoutes(...Array.from({ length: MANY_ROUTES }, (_, number) => ({ name: `r-${number}`, path_prefix: `/${number}/` })))]
]

for (const [name, document] of valid) {
  test(`a plan with ${name} is accepted`, () => {
    const plan = judge(JSON.stringify(document))
    assert.ok(typeof plan !== 'string', String(plan))
  })
}

const invalid: Array<[name: string, document: Fields]> = [
  ['a route to an unknown service', composeRoutes({ service: 'u' })],
  ['a split to an unknown service', composeRoutes({ service: null, traffic_split: [{ service: 's', weight: 1 }, { service: 'u', weight: 1 }] })],
  ['a split to an unknown service with the weight 0', composeRoutes({ service: null, traffic_split: [{ service: 's', weight: 1 }, { service: 'u', weight: 0 }] })],
  ['an unknown service beside a split', composeRoutes({ ...splitOf(1, 1), service: 'u' })],
  ['a route without a service', composeRoutes({ service: null })],
  ['routes but no services', composeDocument({ services: { columns: [], rows: [] } })],
  ['the same host and prefix twice', composeRoutes({}, { name: 'other' })],
  ['the same host and prefix twice, with a route between', composeRoutes({}, { path_prefix: '/b/' }, { name: 'other', service: 't' })],
  ['a weight below 0', composeRoutes(splitOf(-1, 5))],
  ['a weight just below 0', composeRoutes(splitOf(5, -0.001))],
  ['0 attempts', composeRoutes({ max_attempts: 0 })],
  ['fewer than 0 attempts', composeRoutes({ max_attempts: -1 })],
  ['a prefix without the first slash', composeRoutes({ path_prefix: 'a/' })],
  ['an empty prefix', composeRoutes({ path_prefix: '' })],
  ['a row that is too short', composeDocument({ routes: { columns: Object.keys(ROUTE), rows: [Object.values(ROUTE).slice(1)] } })],
  ['a row that is too long', composeDocument({ routes: { columns: Object.keys(ROUTE), rows: [[...Object.values(ROUTE), 1]] } })],
  ['no routes', composeDocument({ routes: undefined })],
  ['no services', composeDocument({ services: undefined })],
  ['no limits', composeDocument({ limits: undefined })],
  ['no version', composeDocument({ version: undefined })],
  ['a version of nine digits', composeDocument({ version: '00000000c' })],
  ['a version as a number', composeDocument({ version: 12 })],
  ['a base that is no version', composeDocument({ base_version: 'five' })],
  ['a time-out as text', composeRoutes({ timeout_s: '1' })],
  ['a weight as text', composeRoutes({ service: null, traffic_split: [{ service: 's', weight: '1' }] })],
  ['a split that is no list', composeRoutes({ traffic_split: 's' })],
  ['no prefix', composeRoutes({ path_prefix: null })]
]

for (const [name, document] of invalid) {
  test(`a plan with ${name} is refused`, () => {
    assert.equal(typeof judge(JSON.stringify(document)), 'string')
  })
}

const soundText = JSON.stringify(composeDocument())
const unreadable: Array<[name: string, text: string]> = [
  ['nothing', ''],
  ['null', 'null'],
  ['a list', '[]'],
  ['two documents', soundText + soundText],
  ['a number without bounds', soundText.replace(',0.4,', ',1e999,')],
  // Guards against a body that ends in an exception instead of a refusal.
  ['deep nesting', soundText.replace(/}$/, `,"note":${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}}`)]
]

for (const [name, text] of unreadable) {
  test(`a body with ${name} is refused as a plan`, () => {
    assert.equal(typeof judge(text), 'string')
  })
}

test('a body that ends before the end of the plan is refused', () => {
  for (let length = 0; length < soundText.length; length += 1) assert.equal(typeof judge(soundText.slice(0, length)), 'string')
})

test('a route with a service and an empty split goes to the service', () => {
  const plan = judge(JSON.stringify(composeRoutes({ service: 's', traffic_split: [] }))) as RoutingPlan
  assert.deepEqual(plan.routes[0]?.targets, [{ service: 's', weight: 1 }] satisfies RouteTarget[])
})

test('an accepted plan that is sent again is accepted after any later ones, and a different one under its version never', () => {
  const state = new PlanState()
  let index = 0
  const submit = (document: Fields): PlanResult => state.apply({ kind: PlanEntryKind.Submit, submission: decodePlan(JSON.stringify(document)) as PlanSubmission }, ++index)
  const versions = ['00000000', '00000002', '0000000a', '0000ffff', '10000000']
  const documents = versions.slice(1).map((version, number) => composeDocument({ version, base_version: versions[number] }))
  for (const document of documents) assert.equal(submit(document), PlanResult.Accepted)
  const lost = composeDocument({ version: '0000000b', base_version: '00000002' })
  assert.equal(submit(lost), PlanResult.OtherBase)
  for (const document of documents) assert.equal(submit(document), PlanResult.Accepted)
  for (const document of documents) assert.notEqual(submit({ ...document, limits: { ...document.limits as Fields, idle_timeout_s: 14 } }), PlanResult.Accepted)
  assert.equal(submit(lost), PlanResult.OtherBase)
  assert.equal(state.plan?.version, 0x10000000)
})
