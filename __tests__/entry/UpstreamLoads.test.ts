import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { listCandidates, type CandidateQuery } from '../../src/entry/listCandidates.js'
import { ServiceAdmission } from '../../src/entry/ServiceAdmission.js'
import { UpstreamLoads } from '../../src/entry/UpstreamLoads.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const query: CandidateQuery = {
  service: 'inventario',
  placementKey: 'lookups|1',
  homeRegions: undefined,
  region: 'asturias',
  excludedUpstreams: new Set(),
  regionOf: (domain) => domain === 'oviedo' ? 'asturias' : 'euskadi',
  canUseCold: () => false
}

/** @returns a host whose control host has lost one of two upstreams, as in a network partition */
function createPartitionedHost (): { known: KnownState, loads: UpstreamLoads } {
  const known = new KnownState()
  const upstreams = ['i-1', 'i-2'].map((id, index) => ({ record: createUpstreamRecord({ id, address: `127.0.0.9:${index + 1}` }), isLost: id === 'i-1' }))
  known.merge(createFollowReply({ plan: createPlan(1), upstreams, isComplete: true, entryHosts: 1 }))
  return { known, loads: new UpstreamLoads(known) }
}

function listCandidateIds (known: KnownState, loads: UpstreamLoads): string[] {
  return listCandidates(known, loads, query).map(({ record }) => record.id).sort()
}

test('an upstream that answers this host is used, even if the control host reports it as lost', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createPartitionedHost()
  for (let requests = 0; requests < 3; requests += 1) loads.get('i-1').start()
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'])
  loads.get('i-1').recordSuccess(performance.now())
  assert.equal(loads.isLost('i-1'), false)
  assert.deepEqual(listCandidateIds(known, loads), ['i-1', 'i-2'])
  await advance(context, 3_100, 100)
  assert.equal(loads.isLost('i-1'), true)
})

test('one request at a time tests an upstream that the control host reports as lost', () => {
  const { known, loads } = createPartitionedHost()
  assert.deepEqual(listCandidateIds(known, loads), ['i-1', 'i-2'])
  loads.get('i-1').start()
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'])
})

test('an upstream that the control host reports as lost gets no second attempt after a failure', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createPartitionedHost()
  loads.get('i-1').recordFailure(performance.now())
  await advance(context, 5_000, 500)
  assert.equal(loads.get('i-1').isAvoided(performance.now()), false)
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'])
})

/** @returns a host with two upstreams */
function createHost (): { known: KnownState, loads: UpstreamLoads } {
  const known = new KnownState()
  const upstreams = ['i-1', 'i-2'].map((id, index) => ({ record: createUpstreamRecord({ id, address: `127.0.0.9:${index + 1}` }), isLost: false }))
  known.merge(createFollowReply({ plan: createPlan(1), upstreams, isComplete: true, entryHosts: 1 }))
  return { known, loads: new UpstreamLoads(known) }
}

// Guards against several requests at once at an upstream whose answers never end, whenever its avoidance is over.
test('an upstream that failed gets one request at a time until it has answered one whole', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createHost()
  loads.get('i-1').recordFailure(performance.now())
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'])
  await advance(context, 300, 100)
  assert.deepEqual(listCandidateIds(known, loads), ['i-1', 'i-2'])
  loads.get('i-1').start()
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'])
  loads.get('i-1').recordRefusal(performance.now())
  assert.deepEqual(listCandidateIds(known, loads), ['i-2'], 'a refusal is no answer to a request that ran')
  loads.get('i-1').recordSuccess(performance.now())
  assert.deepEqual(listCandidateIds(known, loads), ['i-1', 'i-2'])
})

// Guards against requests that are refused while upstreams that failed once are the only ones.
test('upstreams that failed get all requests while no other is usable', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createHost()
  for (const id of ['i-1', 'i-2']) {
    loads.get(id).start()
    loads.get(id).recordFailure(performance.now())
  }
  await advance(context, 300, 100)
  assert.deepEqual(listCandidateIds(known, loads), ['i-1', 'i-2'])
})

// Guards against requests that are refused because the only other upstream is cold and takes none now.
test('a cold upstream that takes no request does not keep requests from one that failed', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createHost()
  Object.assign(known.listReady('inventario').find(({ record }) => record.id === 'i-2')!, { coldUntil: performance.now() + 10_000 })
  loads.get('i-1').start()
  loads.get('i-1').recordFailure(performance.now())
  await advance(context, 300, 100)
  assert.deepEqual(listCandidateIds(known, loads), ['i-1'])
})

test('a short failure does not move objects to another region', () => {
  const { known, loads } = createPartitionedHost()
  loads.get('i-1').start()
  const moreRecords = [createUpstreamRecord({ id: 'i-3', address: '127.0.0.9:3' }), createUpstreamRecord({ id: 'i-4', address: '127.0.0.8:4', domain: 'bilbao', slots: 12 })]
  const upstreams = moreRecords.map((record) => ({ record, isLost: false }))
  known.merge(createFollowReply({ upstreams, demand: { asturias: { inventario: 1 }, euskadi: { inventario: 1 } } }))
  const listFirstDomains = (): string[] => Array.from({ length: 50 }, (_, object) => listCandidates(known, loads, { ...query, placementKey: `o-${object}` })[0]!.record.domain)
  const before = listFirstDomains()
  loads.get('i-2').recordFailure(performance.now())
  assert.deepEqual(listFirstDomains(), before)
})

test('the slots of a lost upstream that answers this host count for the share of this host', async (context: TestContext) => {
  pauseClock(context)
  const { known, loads } = createPartitionedHost()
  const admission = new ServiceAdmission(known, loads)
  const queue = admission.recordArrival('inventario')
  while (queue.length === 0) queue.enter({ priority: 0, maximumWaitMilliseconds: 1_000 }, new AbortController().signal).catch(() => {})
  const withoutAnswer = queue.inFlight
  loads.get('i-1').recordSuccess(performance.now())
  await advance(context, 200, 100)
  assert.ok(queue.inFlight > withoutAnswer, `${queue.inFlight} in flight`)
})
