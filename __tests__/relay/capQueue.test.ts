import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BudgetLeases } from '../../src/limits/BudgetLeases.js'
import { makeDomainScope } from '../../src/limits/makeLeaseScopes.js'
import { PlaceCaps } from '../../src/limits/PlaceCaps.js'
import { Counters } from '../../src/observe/Counters.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { UpstreamPool } from '../../src/relay/UpstreamPool.js'
import { PlaceState } from '../../src/types/PlaceState.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createAnnouncement } from '../support/createAnnouncement.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const HOST = { name: 'a', domain: 'gijon', region: 'asturias', peerAddress: 'a', guestAddress: 'a' }
const PLACES = new Map([['puerto', { name: 'puerto', failureDomain: 'gijon', region: 'asturias', state: PlaceState.Open }]])
const CAP_PER_SECOND = 40
const REQUEST_INTERVAL_MILLISECONDS = 12.5
const REQUESTS = 800
const RUN_MILLISECONDS = 20

// Guards against requests that wait for a cap until their deadline passes, although their turn can't come before.
test('under lasting overload of a cap nearly all requests are served, or refused at once', async (context) => {
  pauseClock(context)
  const leases = new BudgetLeases({
    self: 'a',
    scopes: [makeDomainScope('gijon', [HOST])],
    members: () => [],
    registerHandler: () => {},
    counters: new Counters(),
    callPeer: async () => await Promise.reject(new Error('alone')),
    log: { info: () => {}, warn: () => {}, error: () => {} }
  })
  const caps = new PlaceCaps(leases, 'gijon', new Counters())
  caps.updateLimits([{ service: 'inventario', place: 'puerto', requestsPerSecond: CAP_PER_SECOND }], PLACES)
  const cap = { admit: () => caps.tryAdmit('inventario', 'puerto'), rate: () => caps.rate('inventario', 'puerto'), recordDemand: () => { caps.recordDemand('inventario', 'puerto') } }
  const pool = new UpstreamPool({ service: 'inventario', queueLength: 1_000, cap })
  const upstream = new Upstream(createAnnouncement({ slots: 8 }))
  upstream.extendGrant(1_000_000)
  pool.upstreams.set(upstream.address, upstream)
  await advance(context, 5_000)

  const countByResult = new Map<string, number>()
  for (let request = 0; request < REQUESTS; request += 1) {
    const acquired = pool.acquire({ deadline: performance.now() + 1_000, isSuspect: false, mayWait: true, cancelled: new AbortController().signal })
    acquired.then((result) => {
      const name = result instanceof Upstream ? 'served' : result
      countByResult.set(name, (countByResult.get(name) ?? 0) + 1)
      if (result instanceof Upstream) setTimeout(() => { pool.release(result, false, RUN_MILLISECONDS) }, RUN_MILLISECONDS)
    }, () => {})
    await advance(context, REQUEST_INTERVAL_MILLISECONDS, REQUEST_INTERVAL_MILLISECONDS / 2)
  }
  await advance(context, 1_000)
  const served = countByResult.get('served') ?? 0
  const waitedInVain = countByResult.get(RefusalReason.DeadlinePassed) ?? 0
  assert.ok(served >= 320, `${JSON.stringify([...countByResult])}`)
  assert.ok(waitedInVain <= 0.01 * REQUESTS, `${JSON.stringify([...countByResult])}`)
})
