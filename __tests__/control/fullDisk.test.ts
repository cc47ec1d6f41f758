import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { PlanResult } from '../../src/plan/PlanResult.js'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { Fault } from '../agreement/support/MemoryFiles.js'
import { createSubmission } from '../plan/createPlan.js'
import { ControlCluster, FOLLOW_REQUEST } from './ControlCluster.js'

const HOST_COUNT = 4
const FULL_MILLISECONDS = 4_000

// Guards against entry hosts that go back to an older plan, or a control plane that ends, when full disks are empty again.
test('disks that are full one after another neither end the control plane nor bring back an older plan', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const entryHost = cluster.network.addHost('127.0.0.99:7660')
  let version = 1
  for (const host of cluster.hosts.slice(0, 3)) {
    host.files.fault = Fault.Error
    host.files.faultAtOperation = host.files.operationCount + 1
    const other = cluster.hosts.at(-1)!
    await cluster.waitUntil(async () => (await other.process.plans.submit(createSubmission(version + 1, version))).result === PlanResult.Accepted, 'a change while a disk is full')
    version += 1
    await cluster.advance(FULL_MILLISECONDS)
    host.files.faultAtOperation = Number.POSITIVE_INFINITY
    for (let step = 0, newestVersion = 0; step < 40; step += 1) {
      const { position: { planVersion } } = await cluster.waitFor(entryHost.callPeer<FollowReply>(host.address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000))
      assert.ok(planVersion >= newestVersion, `host ${host.address} went back from version ${newestVersion} to ${planVersion}`)
      newestVersion = planVersion
      await cluster.advance(100)
    }
  }
  await cluster.waitUntil(async () => (await cluster.hosts[0]!.process.plans.read())?.current?.plan.version === version, 'the newest plan is read')
})
