import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decodeAnnouncement, decodeBornAt } from '../../platform/wire/decodeAnnouncement.js'
import { decodePlan } from '../../platform/wire/decodePlan.js'
import { digestKey } from '../../src/plan/digestKey.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'

const announcement = { service: 's', address: '10.0.0.9:8080', zone: 'oviedo', version: 'v1', slots: 9, state: 'ready', cold_remaining_s: 1.5, sequence: 4, born: 1_000 }

test('an announcement is decoded into an upstream record', () => {
  assert.deepEqual(decodeAnnouncement('i-1', announcement), {
    id: 'i-1', bornAt: 1_000, sequence: 4, service: 's', address: '10.0.0.9:8080', domain: 'oviedo', slots: 9, readiness: UpstreamReadiness.Ready, coldMilliseconds: 1_500
  })
})

const faultyFields: object[] = [{ service: undefined }, { slots: '9' }, { slots: 0 }, { state: 'happy' }, { born: 1.5 }, { born: undefined }, { sequence: -1 }, { address: 'nowhere' }, { cold_remaining_s: null }, { zone: 7 }]
for (const fault of faultyFields) {
  test(`an announcement with ${Object.keys(fault)[0]} ${JSON.stringify(Object.values(fault)[0])} is rejected`, () => {
    assert.equal(decodeAnnouncement('i-1', { ...announcement, ...fault }), undefined)
  })
}

test('a body that is not an object gives neither a record nor a start time', () => {
  for (const body of [undefined, null, 7, 'x', []]) {
    assert.equal(decodeAnnouncement('i-1', body), undefined)
    assert.equal(decodeBornAt(body), undefined)
  }
  assert.equal(decodeBornAt({ born: 5 }), 5)
})

const routeColumns = ['name', 'host', 'path_prefix', 'route_type', 'timeout_s', 'target_latency_s', 'priority', 'service', 'max_attempts', 'sticky', 'home_regions', 'traffic_split']

function composeDocument (row: unknown[], change: object = {}): string {
  return JSON.stringify({
    version: '0000000c',
    base_version: '00000005',
    routes: { columns: routeColumns, rows: [row] },
    services: { columns: ['name', 'health_path', 'max_connections', 'protocol', 'tls', 'cold_start_s', 'cold_per_s'], rows: [['s', '/health', 660, 'h1', false, 3, 4.9]] },
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_000, header_timeout_s: 3, idle_timeout_s: 15 },
    ...change
  })
}

const routeRow = ['r', 'A.example', '/a/', 'non_idempotent', 0.8, 0.3, 2, null, 2, true, ['asturias'], [{ service: 's', weight: 90 }]]

test('a plan is decoded from columns, with versions in hexadecimal and times in seconds', () => {
  const submission = decodePlan(composeDocument(routeRow))
  assert.ok(typeof submission !== 'string')
  assert.equal(submission.plan.version, 12)
  assert.equal(submission.baseVersion, 5)
  assert.deepEqual(submission.plan.routes[0], {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/a/',
    requestClass: RequestClass.OneTime,
    timeoutMilliseconds: 800,
    targetLatencyMilliseconds: 300,
    priority: 2,
    targets: [{ service: 's', weight: 90 }],
    mostAttempts: 2,
    sticky: true,
    homeRegions: ['asturias']
  })
  assert.equal(submission.plan.limits.idleTimeoutMilliseconds, 15_000)
})

test('the same document has the same digest, a different one has a different digest', () => {
  const readDigest = (text: string): string => (decodePlan(text) as { digest: string }).digest
  assert.equal(readDigest(composeDocument(routeRow)), readDigest(composeDocument(routeRow)))
  assert.notEqual(readDigest(composeDocument(routeRow)), readDigest(composeDocument(routeRow, { version: '0000000d' })))
})

const unreadable: Array<[name: string, text: string]> = [
  ['cut short', composeDocument(routeRow).slice(0, -40)],
  ['with a row that does not fit its columns', composeDocument(routeRow.slice(1))],
  ['with a version that is not a number', composeDocument(routeRow, { version: 'twelve' })],
  ['without limits', composeDocument(routeRow, { limits: undefined })],
  ['with an unknown class', composeDocument(routeRow.with(3, 'whatever'))]
]
for (const [name, text] of unreadable) {
  test(`a plan ${name} cannot be decoded, and the fault is reported`, () => {
    assert.equal(typeof decodePlan(text), 'string')
  })
}

// Guards against downloads whose route is rejected, or that are not repeated.
test('the route type of downloads is decoded as idempotent', () => {
  const submission = decodePlan(composeDocument(routeRow.with(3, 'download')))
  assert.ok(typeof submission !== 'string')
  assert.equal(submission.plan.routes[0]!.requestClass, RequestClass.Idempotent)
})

// Guards against keys that leave the control host, and against accounts that a deployment without them does not have.
test('client accounts are decoded with digests of their keys, and are absent from a plan without them', () => {
  const columns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst', 'home_regions']
  const submission = decodePlan(composeDocument(routeRow, { tenants: { columns, rows: [['t', ['k-1', 'k-2'], 1, 5.5, 7, ['asturias']], ['u', ['k-3'], null, null, null, null]] } }))
  assert.ok(typeof submission !== 'string')
  assert.deepEqual(submission.plan.accounts, [
    { name: 't', keyDigests: [digestKey('k-1'), digestKey('k-2')], priority: 1, requestsPerSecond: 5.5, burst: 7, homeRegions: ['asturias'] },
    { name: 'u', keyDigests: [digestKey('k-3')], priority: undefined, requestsPerSecond: 0, burst: 0, homeRegions: [] }
  ])
  assert.doesNotMatch(JSON.stringify(submission.plan), /k-1/)
  const plain = decodePlan(composeDocument(routeRow))
  assert.ok(typeof plain !== 'string')
  assert.equal('accounts' in plain.plan, false)
})
