import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ReplicaFile } from '../../src/agreement/storage/ReplicaFile.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster } from './ControlCluster.js'

const HOST_COUNT = 6
const FOLDER = '/data'

type DamageFiles = (files: MemoryFiles) => Promise<void>

const damages: Array<{ name: string, damageFiles: DamageFiles }> = [
  ...[ReplicaFile.Identity, ReplicaFile.Vote, ReplicaFile.Snapshot, ReplicaFile.Log].map((file) => ({
    name: `whose file ${file} is missing`,
    damageFiles: async (files: MemoryFiles) => { await files.remove(`${FOLDER}/${file}`) }
  })),
  { name: 'whose log is corrupt', damageFiles: async (files) => { files.damage(`${FOLDER}/${ReplicaFile.Log}`, (content) => content.fill(7, 0, 8)) } }
]

for (const { name, damageFiles } of damages) {
  // Guards against a host that stays a lost one for good, so that two lost disks more leave no majority.
  test(`a control host ${name} takes part again without an operator, and two lost disks later the plan is read`, async (context: TestContext) => {
    const cluster = await ControlCluster.start(context, HOST_COUNT)
    const [damaged] = cluster.hosts.slice(-1)
    cluster.kill(damaged!)
    const files = damaged!.files.restartProcess()
    await damageFiles(files)
    await cluster.restart([damaged!], () => files)
    await cluster.advance(10_000)
    assert.equal((await cluster.waitFor(cluster.hosts[0]!.process.plans.submit(createSubmission(2, 1)))).result, PlanResult.Accepted)
    const killed = cluster.hosts.slice(0, 2)
    for (const host of killed) cluster.kill(host)
    await cluster.restart(killed, () => new MemoryFiles(seededRandom(1)))
    await cluster.waitUntil(async () => (await cluster.hosts.at(-1)!.process.plans.read())?.current?.plan.version === 2, 'the acknowledged plan is read')
  })
}
