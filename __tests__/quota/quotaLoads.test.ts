import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { GuestAccount } from '../../src/plan/RoutingPlan.js'
import { DEFAULT_QUOTA_BOUNDS } from '../../src/quota/QuotaBounds.js'
import { createAccount } from '../plan/createPlan.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { DOMAINS, QuotaCluster } from './QuotaCluster.js'

const { windowMilliseconds, overage, allowance } = DEFAULT_QUOTA_BOUNDS
const STEP_MILLISECONDS = 20
const USUAL_FRACTION = 0.62
const HOT_FACTOR = 8
const SEED = 20261207

interface Load {
  account: GuestAccount
  requestsPerSecond: number
}

function startCluster (context: TestContext, accounts: GuestAccount[], seed = SEED): QuotaCluster {
  pauseClock(context)
  const cluster = new QuotaCluster(accounts, seed)
  context.after(() => { cluster.stop() })
  return cluster
}

async function sendFor (context: TestContext, cluster: QuotaCluster, milliseconds: number, loads: Load[], hosts = cluster.entryHosts): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    for (const { account, requestsPerSecond } of loads) cluster.sendRequests(account, requestsPerSecond * STEP_MILLISECONDS / 1_000, hosts)
    await advance(context, STEP_MILLISECONDS)
  }
}

function usualLoad (account: GuestAccount): Load {
  return { account, requestsPerSecond: account.requestsPerSecond * USUAL_FRACTION }
}

function hotLoad (account: GuestAccount): Load {
  return { account, requestsPerSecond: account.requestsPerSecond * USUAL_FRACTION * HOT_FACTOR }
}

function computeBound ({ requestsPerSecond, burst }: GuestAccount): number {
  return (requestsPerSecond * windowMilliseconds / 1_000 + burst) * (1 + overage) + allowance
}

function assertWithinBound (cluster: QuotaCluster, account: GuestAccount, since = 0): void {
  const maximum = cluster.findMaximum(account.name, windowMilliseconds, since)
  assert.ok(maximum <= computeBound(account), `${maximum} requests of ${account.name} in one window, ${computeBound(account)} allowed`)
}

const LARGE = createAccount({ name: 'large', requestsPerSecond: 100, burst: 20 })
const MIDDLE = createAccount({ name: 'middle', requestsPerSecond: 8, burst: 4 })
const SMALL = createAccount({ name: 'small', requestsPerSecond: 0.8 / USUAL_FRACTION, burst: 2 })

// Guards against shares that add up to more than the quota while demand rises, and against shares that don't follow it.
test('a hot account with 8 times its usual traffic stays within its quota and gets nearly all of it', async (context) => {
  const accounts = [LARGE, MIDDLE, SMALL]
  const cluster = startCluster(context, accounts)
  await sendFor(context, cluster, 8_000, accounts.map(usualLoad))
  const hotAt = performance.now()
  await sendFor(context, cluster, 7_000, accounts.map(hotLoad))
  for (const account of accounts) assertWithinBound(cluster, account)
  const granted = cluster.recordOf(LARGE.name).grantedAt.filter((time) => time >= hotAt + 1_000).length
  assert.ok(granted >= 0.85 * LARGE.requestsPerSecond * 6, `${granted} granted in 6 s`)
})

// Guards against a static division that leaves a hot region with a fraction of the quota.
test('when all guests of a hot account come to two failure domains, its shares follow within a second', async (context) => {
  const cluster = startCluster(context, [LARGE])
  await sendFor(context, cluster, 8_000, [usualLoad(LARGE)])
  const nearHosts = cluster.entryHosts.filter(({ domain }) => domain === 'd0' || domain === 'd1')
  await sendFor(context, cluster, 1_000, [hotLoad(LARGE)], nearHosts)
  const since = performance.now()
  await sendFor(context, cluster, 4_000, [hotLoad(LARGE)], nearHosts)
  const granted = cluster.recordOf(LARGE.name).grantedAt.filter((time) => time >= since).length
  assert.ok(granted >= 0.75 * LARGE.requestsPerSecond * 4, `${granted} granted in 4 s`)
  assertWithinBound(cluster, LARGE)
})

// Guards against a burst that is bound to shares which an idle account does not have.
test('an idle account can use its burst at once', async (context) => {
  const account = createAccount({ name: 'idle', requestsPerSecond: 20, burst: 60 })
  const cluster = startCluster(context, [account])
  await sendFor(context, cluster, 10_000, [])
  for (let count = 0; count < account.burst; count += 1) cluster.send(account, cluster.entryHosts[count]!)
  await advance(context, 1_000)
  const granted = cluster.recordOf(account.name).grantedAt.length
  assert.ok(granted >= 0.9 * account.burst, `${granted} of ${account.burst} granted`)
})

// Guards against two halves that each spend the entire quota.
test('while the control hosts are partitioned into halves, and after it, a hot account stays within its quota', async (context) => {
  const accounts = [LARGE, MIDDLE, SMALL]
  const cluster = startCluster(context, accounts)
  await sendFor(context, cluster, 6_000, accounts.map(usualLoad))
  cluster.network.split(DOMAINS.slice(0, 3), DOMAINS.slice(3))
  await sendFor(context, cluster, 9_000, accounts.map(hotLoad))
  cluster.network.heal()
  await sendFor(context, cluster, 9_000, accounts.map(hotLoad))
  for (const account of accounts) assertWithinBound(cluster, account)
  const { grantedAt } = cluster.recordOf(LARGE.name)
  assert.ok(grantedAt.filter((time) => time >= performance.now() - 3_000).length >= 0.8 * LARGE.requestsPerSecond * 3, 'the quota is shared again after the partition')
})

// Guards against a control host that begins with a full bucket, or with leases that another one has got meanwhile.
test('while control hosts are restarted one after the other, a hot account stays within its quota', async (context) => {
  const accounts = [LARGE, MIDDLE, SMALL]
  const cluster = startCluster(context, accounts)
  await sendFor(context, cluster, 6_000, accounts.map(usualLoad))
  for (const domain of DOMAINS) {
    await sendFor(context, cluster, 1_500, accounts.map(hotLoad))
    cluster.killControlHost(domain)
    await sendFor(context, cluster, 500, accounts.map(hotLoad))
    cluster.startControlHost(domain)
  }
  await sendFor(context, cluster, 4_000, accounts.map(hotLoad))
  for (const account of accounts) assertWithinBound(cluster, account)
})

// Guards against a control host whose machine ends it again and again, and that has a part of the burst at each start.
test('a control host that restarts many times in a window grants no further bursts', async (context) => {
  const account = createAccount({ name: 'bursts', requestsPerSecond: 5, burst: 100 })
  const cluster = startCluster(context, [account])
  await sendFor(context, cluster, 20_000, [{ account, requestsPerSecond: 1 }])
  for (let restart = 0; restart < 25; restart += 1) {
    await sendFor(context, cluster, 200, [{ account, requestsPerSecond: 200 }])
    cluster.killControlHost('d0')
    cluster.startControlHost('d0')
  }
  assertWithinBound(cluster, account)
})

// Guards against leases of the former limit that go on.
test('a lowered limit holds one window after it is known everywhere', async (context) => {
  const cluster = startCluster(context, [LARGE])
  await sendFor(context, cluster, 8_000, [hotLoad(LARGE)])
  const lowered = { ...LARGE, requestsPerSecond: 20, burst: 4 }
  cluster.setAccounts([lowered])
  const since = performance.now()
  await sendFor(context, cluster, 12_000, [{ account: lowered, requestsPerSecond: 300 }])
  assertWithinBound(cluster, lowered, since + windowMilliseconds)
  const early = cluster.findMaximum(lowered.name, windowMilliseconds, since)
  assert.ok(early <= computeBound(lowered) * 1.5, `${early} at once after the change`)
})

// Guards against refusals below the limit that come from the division among the control hosts.
for (const account of [LARGE, MIDDLE, SMALL]) {
  test(`the ${account.name} account with its usual traffic is refused less than 1% of its requests`, async (context) => {
    const cluster = startCluster(context, [account])
    await sendFor(context, cluster, 5_000, [usualLoad(account)])
    const since = performance.now()
    const seconds = account.requestsPerSecond > 50 ? 40 : account.requestsPerSecond > 5 ? 150 : 900
    await sendFor(context, cluster, seconds * 1_000, [usualLoad(account)])
    const record = cluster.recordOf(account.name)
    const denied = record.deniedAt.filter((time) => time >= since).length
    const granted = record.grantedAt.filter((time) => time >= since).length
    context.diagnostic(`${denied} of ${denied + granted} denied, ${cluster.counters.read('quota.calls-elsewhere')} of ${cluster.counters.read('quota.calls')} calls elsewhere`)
    assert.ok(denied < 0.01 * (denied + granted), `${denied} of ${denied + granted} denied`)
    assert.equal(record.unavailableCount, 0)
  })
}
