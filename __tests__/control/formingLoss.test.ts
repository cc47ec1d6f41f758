import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
const LOST_COUNT = 2
/** The group has its first three voters then, and a fourth one at most. */
const FORMING_MILLISECONDS = 1_100

// Guards against a system that never accepts a plan, since two disks were lost while its group had three voters.
test('a system whose first two seeds lose their disks while the group is forming accepts a plan', async (context: TestContext) => {
  const cluster = ControlCluster.begin(context, HOST_COUNT)
  await cluster.advance(FORMING_MILLISECONDS)
  const killed = [...cluster.hosts]
  for (const host of killed) cluster.kill(host)
  const lostFiles = killed.slice(0, LOST_COUNT).map(({ files }) => files)
  await cluster.restart(killed, (files) => lostFiles.includes(files) ? new MemoryFiles(seededRandom(1)) : files.restartProcess())
  await cluster.waitUntil(async () => await submitAnywhere(cluster), 'a plan is accepted')
})

async function submitAnywhere (cluster: ControlCluster): Promise<boolean> {
  for (const { process } of cluster.hosts) if ((await process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted) return true
  return false
}
