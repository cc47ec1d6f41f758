import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
/** Time within which the users expect an answer, from the return of the hosts on. */
const ACCEPT_MILLISECONDS = 15_000

for (const killedAfter of [0, 20, 40, 60, 100, 300]) {
  // Guards against a system that never serves, since it was killed before its first group was formed and is not started for the first time again.
  test(`control hosts that are all killed ${killedAfter} ms after their first start form a group when they are back`, async (context: TestContext) => {
    const cluster = ControlCluster.begin(context, HOST_COUNT)
    await cluster.advance(killedAfter)
    const killed = [...cluster.hosts]
    for (const host of killed) cluster.kill(host)
    const restarted = await cluster.restart(killed, (files) => files.restartProcess())
    const startedAt = performance.now()
    await cluster.waitUntil(async () => (await restarted[0]!.process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted, 'a plan is accepted')
    assert.ok(performance.now() - startedAt < ACCEPT_MILLISECONDS, `accepted after ${Math.round(performance.now() - startedAt)} ms`)
  })
}
