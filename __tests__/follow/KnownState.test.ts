import assert from 'node:assert/strict'
import { test } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { createFollowReply } from './createFollowReply.js'

test('an older plan from another control host changes nothing', () => {
  const known = new KnownState()
  assert.equal(known.merge(createFollowReply({ plan: createPlan(4) })), true)
  assert.equal(known.merge(createFollowReply({ plan: createPlan(3) })), false)
  assert.equal(known.plan?.version, 4)
})

test('older evacuations from another control host change nothing', () => {
  const known = new KnownState()
  known.merge(createFollowReply({ evacuated: ['gijon'] }, 9))
  known.merge(createFollowReply({ evacuated: [] }, 5))
  assert.equal(known.isEvacuated('gijon'), true)
  known.merge(createFollowReply({ evacuated: [] }, 10))
  assert.equal(known.isEvacuated('gijon'), false)
})

test('only ready upstreams of a service are listed, and a late record does not bring one back', () => {
  const known = new KnownState()
  known.merge(createFollowReply({ upstreams: [{ record: createUpstreamRecord({ sequence: 3 }), isLost: false }] }))
  assert.equal(known.listReady('inventario').length, 1)
  known.merge(createFollowReply({ upstreams: [{ record: createUpstreamRecord({ sequence: 4, readiness: UpstreamReadiness.Draining }), isLost: false }] }))
  known.merge(createFollowReply({ upstreams: [{ record: createUpstreamRecord({ sequence: 3 }), isLost: false }] }))
  assert.deepEqual(known.listReady('inventario'), [])
})

test('the number of entry hosts that shares are computed with is unknown at first and never falls', () => {
  const known = new KnownState()
  known.merge(createFollowReply({ entryHosts: 16 }))
  known.merge(createFollowReply({ entryHosts: 3 }))
  assert.equal(known.entryHosts, Number.POSITIVE_INFINITY)
  assert.equal(known.countedEntryHosts, 16)
})
