import assert from 'node:assert/strict'
import { test } from 'node:test'
import { listCandidates, type CandidateQuery } from '../../src/entry/listCandidates.js'
import { UpstreamLoads } from '../../src/entry/UpstreamLoads.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'

const domains = ['oviedo', 'gijon', 'bilbao']
const regionOf = (domain: string): string => domain === 'bilbao' ? 'euskadi' : 'asturias'

function createHost (): { known: KnownState, loads: UpstreamLoads } {
  const known = new KnownState()
  const upstreams = Array.from({ length: 12 }, (_, index) => ({ record: createUpstreamRecord({ id: `i-${index}`, address: `127.0.0.9:${index + 1}`, domain: domains[index % 3]! }), isLost: false }))
  const demand = { asturias: { inventario: 60 }, euskadi: { inventario: 30 } }
  known.merge(createFollowReply({ plan: createPlan(1), upstreams, isComplete: true, entryHosts: 1, demand }))
  return { known, loads: new UpstreamLoads(known) }
}

// Guards against downloads whose bytes cross the link between two failure domains although an upstream of the own one could send them.
test('with a preferred domain its upstreams come first within their region, in the order of the object', () => {
  const { known, loads } = createHost()
  for (let object = 0; object < 50; object += 1) {
    const query: CandidateQuery = { service: 'inventario', placementKey: `tariffs|${object}`, homeRegions: undefined, region: 'asturias', excludedUpstreams: new Set(), regionOf, canUseCold: () => false }
    const listIn = (domain: string | undefined): string[] => listCandidates(known, loads, { ...query, preferredDomain: domain }).map(({ record }) => record.id)
    const domainOf = (id: string): string => known.upstreams.get(id)!.record.domain
    const [plain, preferred] = [listIn(undefined), listIn('gijon')]
    assert.deepEqual(preferred.map((id) => regionOf(domainOf(id))), plain.map((id) => regionOf(domainOf(id))), 'the order of the regions stays')
    const local = preferred.filter((id) => regionOf(domainOf(id)) === 'asturias')
    assert.deepEqual(local, [...plain.filter((id) => domainOf(id) === 'gijon'), ...plain.filter((id) => domainOf(id) === 'oviedo')])
  }
})
