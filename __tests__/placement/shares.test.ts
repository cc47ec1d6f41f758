import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { chooseRetryAfter } from '../../src/placement/chooseRetryAfter.js'
import { ColdShare } from '../../src/placement/ColdShare.js'
import { RetryShare } from '../../src/placement/RetryShare.js'
import { UpstreamLoad } from '../../src/placement/UpstreamLoad.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const HOSTS = 16
/** The bound that the users state for a cold upstream: rate times 1.5, and 5. */
const MOST_COLD_PER_SECOND = 4.9 * 1.5 + 5

test('hosts that know nothing of each other keep a cold upstream within its rate in every second', () => {
  for (let upstream = 0; upstream < 200; upstream += 1) {
    const shares = Array.from({ length: HOSTS }, () => new ColdShare())
    const sentAt: number[] = []
    for (let now = 0; now < 3_000; now += 5) {
      shares.forEach((share, host) => {
        const question = { upstream: `i-${upstream}`, host: `entry-${host}`, entryHosts: HOSTS, requestsPerSecond: 4.9 }
        if (!share.mayTake(question, now)) return
        share.take(question.upstream, now)
        sentAt.push(now)
      })
    }
    const most = Math.max(...sentAt.map((from) => sentAt.filter((at) => at >= from && at < from + 1_000).length), 0)
    assert.ok(most <= MOST_COLD_PER_SECOND, `${most} requests in a second to upstream ${upstream}`)
  }
})

test('nearly every cold upstream gets some requests', () => {
  const reached = Array.from({ length: 200 }, (_, upstream) => upstream).filter((upstream) =>
    Array.from({ length: HOSTS }, (_, host) => host).some((host) =>
      new ColdShare().mayTake({ upstream: `i-${upstream}`, host: `entry-${host}`, entryHosts: HOSTS, requestsPerSecond: 4.9 }, 0)))
  assert.ok(reached.length >= 190, `${reached.length} of 200`)
})

test('a host that does not know how many there are sends nothing to cold upstreams', () => {
  const question = { upstream: 'i-1', host: 'entry-1', entryHosts: Number.POSITIVE_INFINITY, requestsPerSecond: 4.9 }
  assert.equal(new ColdShare().mayTake(question, 0), false)
})

test('retries of all hosts together stay within the bound in every window', () => {
  const bound = { ratio: 0.2, allowance: 112, windowMilliseconds: 10_000 }
  const shares = Array.from({ length: HOSTS }, () => new RetryShare(bound))
  let requests = 0
  let retries = 0
  for (let now = 0; now < 10_000; now += 50) {
    for (const share of shares) {
      share.noteRequest(now)
      requests += 1
      while (share.trySpend(now, HOSTS)) retries += 1
    }
  }
  assert.ok(retries <= bound.ratio * requests + bound.allowance, `${retries} retries of ${requests} requests`)
  assert.ok(retries > 0)
})

test('retries get room again when the window has passed', () => {
  const share = new RetryShare({ ratio: 0, allowance: 2, windowMilliseconds: 10_000 })
  assert.equal(share.trySpend(0, 1), true)
  assert.equal(share.trySpend(1, 1), false)
  assert.equal(share.trySpend(20_000, 1), true)
})

test('guests refused together are told to come back apart, within a third of their time', () => {
  assert.notEqual(chooseRetryAfter(4_000, 0), chooseRetryAfter(4_000, 0.9))
  assert.ok(chooseRetryAfter(600, 0.9) <= 0.2)
})

test('load counts what was sent since the upstream last told, and old reports count for nothing', async (context: TestContext) => {
  pauseClock(context)
  const load = new UpstreamLoad()
  load.noteReport({ running: 3, waiting: 1, slots: 4 }, performance.now())
  load.start()
  assert.equal(load.utilization(4, performance.now()), 5 / 4)
  await advance(context, 2_000)
  assert.equal(load.utilization(4, performance.now()), 1 / 4)
})

test('an upstream that fails again and again is avoided for longer, until it serves', () => {
  const load = new UpstreamLoad()
  load.noteFailure(0)
  assert.equal(load.isAvoided(249), true)
  assert.equal(load.isAvoided(250), false)
  load.noteFailure(250)
  assert.equal(load.isAvoided(700), true)
  load.noteSuccess()
  load.noteFailure(1_000)
  assert.equal(load.isAvoided(1_250), false)
})
