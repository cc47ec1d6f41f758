import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
const SEEDS = [0, 1, 2]
/** Time within which the users expect to read what was acknowledged, from the return of the hosts on. */
const READ_MILLISECONDS = 15_000

for (const lostSeeds of [[0, 1], [0, 2], [1, 2]]) {
  // Guards against a first plan that two lost disks take away, since the group that acknowledged it had only three voters yet.
  test(`the first plan outlives the loss of seeds ${lostSeeds.join(' and ')} at the moment of its acknowledgement`, async (context: TestContext) => {
    const cluster = ControlCluster.begin(context, HOST_COUNT)
    await cluster.waitUntil(async () => await submitAnywhere(cluster), 'the first plan')
    const killed = [...cluster.hosts]
    for (const host of killed) cluster.kill(host)
    const restarted = await cluster.restart(killed, (files) => {
      const isLost = lostSeeds.some((seed) => killed[SEEDS[seed]!]!.files === files)
      return isLost ? new MemoryFiles(seededRandom(1)) : files.restartProcess()
    })
    const startedAt = performance.now()
    await cluster.waitUntil(async () => (await restarted.at(-1)!.process.plans.read())?.current?.plan.version === 1, 'the acknowledged plan is read')
    assert.ok(performance.now() - startedAt < READ_MILLISECONDS, `read after ${Math.round(performance.now() - startedAt)} ms`)
  })
}

// Guards against a system that never accepts a plan because it has fewer control hosts than a complete group.
test('a group with fewer hosts than it needs accepts the first plan after a while, and restarted at once', async (context: TestContext) => {
  const cluster = ControlCluster.begin(context, HOST_COUNT)
  for (const host of cluster.hosts.slice(4)) cluster.kill(host)
  const startedAt = performance.now()
  await cluster.waitUntil(async () => await submitAnywhere(cluster), 'the first plan')
  const took = performance.now() - startedAt
  assert.ok(took >= 5_000 && took < 10_000, `accepted after ${Math.round(took)} ms`)
  const killed = cluster.hosts.slice(0, 4)
  for (const host of killed) cluster.kill(host)
  const [restarted] = await cluster.restart(killed, (files) => files.restartProcess())
  const restartedAt = performance.now()
  await cluster.waitUntil(async () => (await restarted!.process.plans.submit(createSubmission(2, 1))).result === PlanResult.Accepted, 'the second plan')
  assert.ok(performance.now() - restartedAt < 4_000, `accepted ${Math.round(performance.now() - restartedAt)} ms after the restart`)
})

async function submitAnywhere (cluster: ControlCluster): Promise<boolean> {
  for (const { process } of cluster.hosts) if ((await process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted) return true
  return false
}
