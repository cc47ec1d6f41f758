import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import type { QuotaReply } from '../../src/quota/QuotaMessages.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { createAccount, createPlan, createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 3
const ACCOUNT = createAccount({ requestsPerSecond: 60, burst: 30 })
/** Four fifths of the default allowance. */
const ROUNDING_REQUESTS = 16
const CALL_TIMEOUT_MILLISECONDS = 300

async function startWithQuota (context: TestContext): Promise<ControlCluster> {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const submission = { ...createSubmission(2, 1), plan: { ...createPlan(2), accounts: [ACCOUNT] } }
  await cluster.waitUntil(async () => (await cluster.hosts[0]!.process.plans.submit(submission)).result === PlanResult.Accepted, 'the plan with an account')
  await cluster.advance(5_000)
  return cluster
}

/** @returns the number of tokens that each control host grants now */
async function takeTokens (cluster: ControlCluster, addresses = cluster.hosts.map(({ address }) => address)): Promise<number[]> {
  const { callPeer } = cluster.network.addHost('127.0.0.9:7660')
  const replies = addresses.map((address) => callPeer<QuotaReply>(address, PeerMethod.TakeQuota, { client: 'entry-1', rows: [[ACCOUNT.name, 1_000, 0, 0, 1_000]] }, CALL_TIMEOUT_MILLISECONDS))
  return (await cluster.waitFor(Promise.all(replies))).map(({ grants }) => grants[0]?.[0] ?? 0)
}

const sum = (counts: number[]): number => counts.reduce((total, count) => total + count, 0)

// Guards against control hosts that don't find each other by their failure domains, so that each has its static share only.
test('the control hosts share the quota of an account of the plan', async (context) => {
  const cluster = await startWithQuota(context)
  const burst = sum(await takeTokens(cluster))
  assert.ok(burst <= ACCOUNT.burst + ROUNDING_REQUESTS && burst >= 0.9 * ACCOUNT.burst, `${burst} at once`)
  const startedAt = performance.now()
  let granted = 0
  while (performance.now() - startedAt < 5_000) {
    granted += sum(await takeTokens(cluster))
    await cluster.advance(100)
  }
  const limit = ACCOUNT.requestsPerSecond * (performance.now() - startedAt) / 1_000
  assert.ok(granted >= 0.9 * limit && granted <= limit + HOST_COUNT, `${granted} of ${limit}`)
})

// Guards against a control host that grants a burst again after its restart, and against one that never takes part again.
test('a restarted control host begins with one request, and gets its part again', async (context) => {
  const cluster = await startWithQuota(context)
  const restartedHost = cluster.hosts[1]!
  cluster.kill(restartedHost)
  await cluster.advance(500)
  const [restarted] = await cluster.restart([restartedHost], (files) => files.restartProcess())
  let firstGranted = 0
  await cluster.waitUntil(async () => {
    firstGranted = await takeTokens(cluster, [restarted!.address]).then(sum, () => 0)
    return firstGranted > 0
  }, 'the quota is in force again')
  assert.ok(firstGranted <= 2, `${firstGranted} at once`)
  await cluster.advance(10_000)
  assert.ok(sum(await takeTokens(cluster, [restarted!.address])) >= 0.25 * ACCOUNT.burst)
})
