import assert from 'node:assert/strict'
import { test } from 'node:test'
import { KnownState } from '../../src/follow/KnownState.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { planOf } from '../plan/planOf.js'
import { recordOf } from '../registry/recordOf.js'
import { replyOf } from './replyOf.js'

test('an older plan of another control host changes nothing', () => {
  const known = new KnownState()
  assert.equal(known.merge(replyOf({ plan: planOf(4) })), true)
  assert.equal(known.merge(replyOf({ plan: planOf(3) })), false)
  assert.equal(known.plan?.version, 4)
})

test('older evacuations of another control host change nothing', () => {
  const known = new KnownState()
  known.merge(replyOf({ evacuated: ['gijon'] }, 9))
  known.merge(replyOf({ evacuated: [] }, 5))
  assert.equal(known.isEvacuated('gijon'), true)
  known.merge(replyOf({ evacuated: [] }, 10))
  assert.equal(known.isEvacuated('gijon'), false)
})

test('only ready upstreams of a service are listed, and a late record does not bring one back', () => {
  const known = new KnownState()
  known.merge(replyOf({ upstreams: [{ record: recordOf({ sequence: 3 }), isLost: false }] }))
  assert.equal(known.listReady('inventario').length, 1)
  known.merge(replyOf({ upstreams: [{ record: recordOf({ sequence: 4, readiness: UpstreamReadiness.Draining }), isLost: false }] }))
  known.merge(replyOf({ upstreams: [{ record: recordOf({ sequence: 3 }), isLost: false }] }))
  assert.deepEqual(known.listReady('inventario'), [])
})

test('the number of entry hosts for shares is unknown at first and never shrinks', () => {
  const known = new KnownState()
  known.merge(replyOf({ entryHosts: 16 }))
  known.merge(replyOf({ entryHosts: 3 }))
  assert.equal(known.entryHosts, Number.POSITIVE_INFINITY)
  assert.equal(known.entryHostsHeard, 16)
})
