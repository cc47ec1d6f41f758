import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Upstream } from '../../src/relay/Upstream.js'
import { UpstreamPool, type SlotRequest } from '../../src/relay/UpstreamPool.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { createAnnouncement } from '../support/createAnnouncement.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const SLOW_START_MILLISECONDS = 5_000

function createSlotRequest (overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { deadline: performance.now() + 1_000, isSuspect: false, mayWait: true, cancelled: new AbortController().signal, ...overrides }
}

function createPool (context: TestContext, upstreamCount: number, admit: () => boolean = () => true, capRate: () => number = () => Infinity): UpstreamPool {
  pauseClock(context)
  const pool = new UpstreamPool({ service: 'inventario', queueLength: 3, cap: { admit, rate: capRate, recordDemand: () => {} } })
  for (let index = 0; index < upstreamCount; index += 1) {
    const upstream = new Upstream(createAnnouncement({ address: `127.0.0.1:${9000 + index}`, identity: `process-${index}` }))
    upstream.extendGrant(SLOW_START_MILLISECONDS * 2)
    pool.upstreams.set(upstream.address, upstream)
  }
  context.mock.timers.tick(SLOW_START_MILLISECONDS)
  return pool
}

test('no more slots are given than the upstreams have, and waiting requests get freed slots in the order of their deadlines', async (context) => {
  const pool = createPool(context, 1)
  const first = await pool.acquire(createSlotRequest())
  assert.ok(first instanceof Upstream)
  assert.ok(await pool.acquire(createSlotRequest()) instanceof Upstream)
  const order: string[] = []
  const late = pool.acquire(createSlotRequest({ deadline: performance.now() + 900 })).then((result) => { order.push('late'); return result })
  const soon = pool.acquire(createSlotRequest({ deadline: performance.now() + 500 })).then((result) => { order.push('soon'); return result })
  await advance(context, 20)
  assert.deepEqual(order, [])
  assert.equal(first.running, 2)
  pool.release(first, false, 10)
  await soon
  pool.release(first, false, 10)
  await late
  assert.deepEqual(order, ['soon', 'late'])
  assert.equal(first.running, 2)
})

const REFUSALS: Array<{ name: string, upstreams: number, taken: number, takenMilliseconds?: number, request: Partial<SlotRequest>, admit?: boolean, reason: RefusalReason }> = [
  { name: 'without an upstream', upstreams: 0, taken: 0, request: {}, reason: RefusalReason.NoUpstream },
  { name: 'without a free slot when the request may not wait', upstreams: 1, taken: 2, request: { mayWait: false }, reason: RefusalReason.QueueFull },
  { name: 'at the cap when the request may not wait', upstreams: 1, taken: 0, request: { mayWait: false }, admit: false, reason: RefusalReason.PlaceCap },
  { name: 'with a deadline that the queue cannot meet', upstreams: 1, taken: 5, request: { deadline: SLOW_START_MILLISECONDS + 25 }, reason: RefusalReason.DeadlineTooShort },
  { name: 'with a full queue', upstreams: 1, taken: 5, takenMilliseconds: 500, request: {}, reason: RefusalReason.QueueFull },
  { name: 'when it is cancelled', upstreams: 1, taken: 0, request: { cancelled: AbortSignal.abort() }, reason: RefusalReason.Cancelled }
]

for (const { name, upstreams, taken, takenMilliseconds, request, admit, reason } of REFUSALS) {
  test(`a request is refused at once ${name}`, async (context) => {
    const pool = createPool(context, upstreams, () => admit ?? true)
    for (let index = 0; index < taken; index += 1) pool.acquire(createSlotRequest({ deadline: SLOW_START_MILLISECONDS + (takenMilliseconds ?? 24) })).catch(() => {})
    assert.equal(await pool.acquire(createSlotRequest(request)), reason)
  })
}

test('a request waits for the cap until its deadline, then is refused without running', async (context) => {
  const pool = createPool(context, 1, () => false)
  const result = pool.acquire(createSlotRequest({ deadline: performance.now() + 100 }))
  await advance(context, 120)
  assert.equal(await result, RefusalReason.DeadlinePassed)
  assert.equal(pool.waiting, 0)
})

test('waiting requests are refused when the last grant ends, and no slot is given afterwards', async (context) => {
  const pool = createPool(context, 1)
  const [upstream] = [...pool.upstreams.values()]
  await pool.acquire(createSlotRequest())
  await pool.acquire(createSlotRequest())
  const waiting = pool.acquire(createSlotRequest({ deadline: performance.now() + 60_000 }))
  context.mock.timers.tick(SLOW_START_MILLISECONDS)
  pool.release(upstream!, false, 10)
  assert.equal(await waiting, RefusalReason.NoUpstream)
  assert.equal(upstream!.freeSlots(), 0)
})

test('two suspects never share an upstream', async (context) => {
  const pool = createPool(context, 2)
  const results = await Promise.all([pool.acquire(createSlotRequest({ isSuspect: true })), pool.acquire(createSlotRequest({ isSuspect: true }))])
  assert.notEqual(results[0], results[1])
  const third = pool.acquire(createSlotRequest({ isSuspect: true, deadline: performance.now() + 50 }))
  await advance(context, 60)
  assert.equal(await third, RefusalReason.DeadlinePassed)
})

test('the slots of a new upstream open one after another', (context) => {
  pauseClock(context)
  const upstream = new Upstream(createAnnouncement({ slots: 7 }))
  upstream.extendGrant(60_000)
  const openSlots: number[] = []
  for (let step = 0; step < 8; step += 1) {
    openSlots.push(upstream.freeSlots())
    context.mock.timers.tick(250)
  }
  assert.deepEqual(openSlots, [1, 2, 3, 4, 5, 6, 7, 7])
})

test('the wait is also estimated from the cap: a request that the cap admits too late is refused at once', async (context) => {
  const pool = createPool(context, 2, () => false, () => 10)
  const waiting = pool.acquire(createSlotRequest({ deadline: performance.now() + 100 }))
  assert.equal(await pool.acquire(createSlotRequest({ deadline: performance.now() + 110 })), RefusalReason.DeadlineTooShort)
  await advance(context, 110)
  assert.equal(await waiting, RefusalReason.DeadlinePassed)
})

test('while others wait, a freed slot is not spent on a request that is unlikely to finish in time', async (context) => {
  const pool = createPool(context, 1)
  const upstream = await pool.acquire(createSlotRequest())
  await pool.acquire(createSlotRequest())
  assert.ok(upstream instanceof Upstream)
  const late = pool.acquire(createSlotRequest({ deadline: performance.now() + 100 }))
  const later = pool.acquire(createSlotRequest({ deadline: performance.now() + 500 }))
  context.mock.timers.tick(90)
  pool.release(upstream, false, 20)
  assert.equal(await late, RefusalReason.DeadlineTooShort)
  assert.equal(await later, upstream)
})

test('a request reads the free slots of each upstream once, as does a summary, and the cap is asked once', async (context) => {
  let asked = 0
  const pool = createPool(context, 3, () => { asked += 1; return true })
  let counted = 0
  for (const upstream of pool.upstreams.values()) {
    const freeSlots = upstream.freeSlots.bind(upstream)
    context.mock.method(upstream, 'freeSlots', (now: number) => { counted += 1; return freeSlots(now) })
  }
  const upstream = await pool.acquire(createSlotRequest())
  assert.ok(upstream instanceof Upstream)
  pool.release(upstream, false, 10)
  pool.summarize()
  assert.equal(counted, 2 * pool.upstreams.size)
  assert.equal(asked, 1)
})

test('a request that the cap does not admit at once asks it again only after a delay', async (context) => {
  let asked = 0
  const pool = createPool(context, 1, () => { asked += 1; return asked > 1 })
  const waiting = pool.acquire(createSlotRequest())
  assert.equal(asked, 1)
  await advance(context, 20)
  assert.ok(await waiting instanceof Upstream)
  assert.equal(asked, 2)
})

for (const seed of [1, 2, 3]) {
  test(`the counts stay exact under random requests, releases and lost grants, seed ${seed}`, async (context) => {
    const pool = createPool(context, 4)
    const random = xoroshiro128plus(seed)
    const taken: Upstream[] = []
    for (let step = 0; step < 400; step += 1) {
      const pick = uniformFloat64(random)
      const upstream = [...pool.upstreams.values()][Math.floor(uniformFloat64(random) * 4)]!
      if (pick < 0.5) pool.acquire(createSlotRequest({ mayWait: pick < 0.3 })).then((acquired) => { if (acquired instanceof Upstream) taken.push(acquired) }, () => {})
      else if (pick < 0.9) taken.splice(0, 1).forEach((acquired) => { pool.release(acquired, false, 10) })
      else if (pick < 0.95) upstream.endGrant()
      else upstream.extendGrant(performance.now() + SLOW_START_MILLISECONDS)
      pool.serveQueue()
      await advance(context, 1)
      const usable = [...pool.upstreams.values()].filter((each) => each.isUsable())
      const free = usable.reduce((sum, each) => sum + Math.max(0, each.slots - each.running), 0)
      assert.deepEqual(pool.summarize(), { service: 'inventario', upstreams: usable.length, slots: 2 * usable.length, freeSlots: free - pool.waiting })
      assert.ok([...pool.upstreams.values()].every(({ running, slots }) => running <= slots))
      assert.equal([...pool.upstreams.values()].reduce((sum, { running }) => sum + running, 0), taken.length)
      assert.ok(pool.waiting === 0 || free === 0)
    }
  })
}
