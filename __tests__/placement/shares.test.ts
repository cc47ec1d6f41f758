import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { chooseRetryAfter } from '../../src/placement/chooseRetryAfter.js'
import { ColdShare } from '../../src/placement/ColdShare.js'
import { RetryShare } from '../../src/placement/RetryShare.js'
import { UpstreamLoad } from '../../src/placement/UpstreamLoad.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const HOST_COUNT = 16
/** Limit that the users state for a cold upstream: 1.5 times its rate, plus 5. */
const MAXIMUM_COLD_REQUESTS_PER_SECOND = 4.9 * 1.5 + 5

test('hosts that know nothing of each other keep a cold upstream within its limit in every second', () => {
  for (let upstream = 0; upstream < 200; upstream += 1) {
    const shares = Array.from({ length: HOST_COUNT }, () => new ColdShare())
    const sentAt: number[] = []
    for (let now = 0; now < 3_000; now += 5) {
      shares.forEach((share, host) => {
        const query = { upstream: `i-${upstream}`, host: `entry-${host}`, entryHosts: HOST_COUNT, requestsPerSecond: 4.9 }
        if (!share.mayTake(query, now)) return
        share.take(query.upstream, now)
        sentAt.push(now)
      })
    }
    const maximum = Math.max(...sentAt.map((from) => sentAt.filter((at) => at >= from && at < from + 1_000).length), 0)
    assert.ok(maximum <= MAXIMUM_COLD_REQUESTS_PER_SECOND, `${maximum} requests in a second to upstream ${upstream}`)
  }
})

test('nearly every cold upstream gets some requests', () => {
  const reached = Array.from({ length: 200 }, (_, upstream) => upstream).filter((upstream) =>
    Array.from({ length: HOST_COUNT }, (_, host) => host).some((host) =>
      new ColdShare().mayTake({ upstream: `i-${upstream}`, host: `entry-${host}`, entryHosts: HOST_COUNT, requestsPerSecond: 4.9 }, 0)))
  assert.ok(reached.length >= 190, `${reached.length} of 200`)
})

test('a host that does not know the number of entry hosts sends nothing to cold upstreams', () => {
  const query = { upstream: 'i-1', host: 'entry-1', entryHosts: Number.POSITIVE_INFINITY, requestsPerSecond: 4.9 }
  assert.equal(new ColdShare().mayTake(query, 0), false)
})

test('retries of all hosts together stay within the bound in every window', () => {
  const bound = { ratio: 0.2, allowance: 112, windowMilliseconds: 10_000 }
  const shares = Array.from({ length: HOST_COUNT }, () => new RetryShare(bound))
  let requests = 0
  let retries = 0
  for (let now = 0; now < 10_000; now += 50) {
    for (const share of shares) {
      share.recordRequest(now)
      requests += 1
      while (share.trySpend(now, HOST_COUNT)) retries += 1
    }
  }
  assert.ok(retries <= bound.ratio * requests + bound.allowance, `${retries} retries of ${requests} requests`)
  assert.ok(retries > 0)
})

test('retries are allowed again after the window has passed', () => {
  const share = new RetryShare({ ratio: 0, allowance: 2, windowMilliseconds: 10_000 })
  assert.equal(share.trySpend(0, 1), true)
  assert.equal(share.trySpend(1, 1), false)
  assert.equal(share.trySpend(20_000, 1), true)
})

test('guests refused together get different retry times, within a third of their remaining time', () => {
  const { QueueFull } = RefusalReason
  assert.notEqual(chooseRetryAfter(QueueFull, 4_000, 0), chooseRetryAfter(QueueFull, 4_000, 0.9))
  assert.ok(chooseRetryAfter(QueueFull, 600, 0.9) <= 0.2)
})

test('a guest refused by an upstream with free slots is told to come back at once', () => {
  assert.ok(chooseRetryAfter(RefusalReason.ShedWithFreeSlots, 4_000, 0.99) <= 0.1)
})

// Guards against guests over their quota who come back too early, and are refused for certain.
test('a guest over its quota is told the whole time until there is a token, also beyond its deadline', () => {
  assert.equal(chooseRetryAfter(RefusalReason.QuotaExceeded, 300, 0, 1_234.5), 1.235)
  const latest = chooseRetryAfter(RefusalReason.QuotaExceeded, 300, 0.99, 1_000)
  assert.ok(latest >= 1 && latest <= 1.5, `${latest}`)
})

test('a refusal counts as one with free slots only with a load report of its own', () => {
  const load = new UpstreamLoad()
  assert.equal(load.recordRefusal(0), false)
  load.recordReport({ running: 4, waiting: 2, slots: 4 }, 10)
  assert.equal(load.recordRefusal(10), false)
  load.recordReport({ running: 1, waiting: 0, slots: 4 }, 20)
  assert.equal(load.recordRefusal(20), true)
  assert.equal(load.recordRefusal(30), false)
  assert.ok(load.isAlive(3_000) && !load.isAlive(3_100))
})

test('hosts that restart and lose their counts still stay within the bound on retries', () => {
  const bound = { ratio: 0.2, allowance: 112, windowMilliseconds: 10_000 }
  let requests = 0
  let retries = 0
  for (const incarnation of [0, 1]) {
    const shares = Array.from({ length: HOST_COUNT }, () => new RetryShare(bound))
    for (let now = 0; now < 5_000; now += 50) {
      for (const share of shares) {
        share.recordRequest(incarnation * 5_000 + now)
        requests += 1
        while (share.trySpend(incarnation * 5_000 + now, HOST_COUNT)) retries += 1
      }
    }
  }
  assert.ok(retries <= bound.ratio * requests + bound.allowance, `${retries} retries of ${requests} requests`)
})

test('utilization includes requests sent since the last report, and old reports are ignored', async (context: TestContext) => {
  pauseClock(context)
  const load = new UpstreamLoad()
  load.recordReport({ running: 3, waiting: 1, slots: 4 }, performance.now())
  load.start()
  assert.equal(load.utilization(4, performance.now()), 5 / 4)
  await advance(context, 2_000)
  assert.equal(load.utilization(4, performance.now()), 1 / 4)
})

test('a reported queue is assumed to shrink, so that its upstream is not avoided until the next report', () => {
  const load = new UpstreamLoad()
  load.recordReport({ running: 4, waiting: 4, slots: 4 }, 0)
  assert.equal(load.utilization(4, 0), 2)
  assert.equal(load.utilization(4, 250), 1.5)
  assert.equal(load.utilization(4, 500), 1)
})

test('an upstream that fails repeatedly is avoided for longer, until it answers a request', () => {
  const load = new UpstreamLoad()
  load.recordFailure(0)
  assert.equal(load.isAvoided(249), true)
  assert.equal(load.isAvoided(250), false)
  load.recordFailure(250)
  assert.equal(load.isAvoided(700), true)
  load.recordSuccess(800)
  load.recordFailure(1_000)
  assert.equal(load.isAvoided(1_250), false)
})

// Guards against second attempts that add to the retries of partitioned hosts instead of counting among them.
test('retries and second attempts of hosts that know nothing of each other stay within the bound together', () => {
  const bound = { ratio: 0.2, allowance: 112, windowMilliseconds: 10_000 }
  const hosts = Array.from({ length: HOST_COUNT }, () => ({ retries: new RetryShare(bound), seconds: new RetryShare({ ratio: 0.05, allowance: 0, windowMilliseconds: 10_000 }) }))
  let requests = 0
  let retryCount = 0
  let secondCount = 0
  for (let now = 0; now < 10_000; now += 50) {
    for (const { retries, seconds } of hosts) {
      for (const share of [retries, seconds]) share.recordRequest(now)
      requests += 1
      if (seconds.maySpend(now, HOST_COUNT) && retries.trySpend(now, HOST_COUNT) && seconds.trySpend(now, HOST_COUNT)) secondCount += 1
      if (retries.trySpend(now, HOST_COUNT)) retryCount += 1
    }
  }
  assert.ok(secondCount > 0 && secondCount <= 0.05 * requests, `${secondCount} second attempts of ${requests} requests`)
  assert.ok(retryCount + secondCount <= bound.ratio * requests + bound.allowance, `${retryCount} retries and ${secondCount} second attempts of ${requests} requests`)
})

test('the present time of work that an upstream reported counts while the report is fresh', () => {
  const load = new UpstreamLoad()
  assert.equal(load.getWorkPercent(0), undefined)
  load.recordReport({ running: 1, waiting: 0, slots: 4, workPercent: 250 }, 1_000)
  assert.equal(load.getWorkPercent(1_600), 250)
  assert.equal(load.getWorkPercent(1_601), undefined)
})
