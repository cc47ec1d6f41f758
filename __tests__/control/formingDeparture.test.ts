import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { createSubmission } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { ControlCluster, FOLLOW_REQUEST } from './ControlCluster.js'

const HOST_COUNT = 6
const ANNOUNCED = createUpstreamRecord({ id: 'i-1', sequence: 1 })

for (const lost of [[0, 1], [0, 2], [1, 2]]) {
  // Guards against a departure that is forgotten when the forming group, whose voters held it, is given up.
  test(`a departure that was acknowledged while the group was forming outlives the loss of seeds ${lost.join(' and ')} and the forming of another group`, async (context: TestContext) => {
    const cluster = ControlCluster.begin(context, HOST_COUNT)
    const { upstreams } = cluster.hosts[0]!.process
    const isLeft = async (): Promise<boolean> => await upstreams.announce(ANNOUNCED) === AnnouncementResult.Accepted && await upstreams.remove('i-1', ANNOUNCED.bornAt) === AnnouncementResult.Accepted
    await cluster.waitUntil(isLeft, 'the departure is acknowledged')
    assert.ok(cluster.hosts.every(({ events }) => !events.includes('group-complete')), 'the group is forming')
    const killed = [...cluster.hosts]
    for (const host of killed) cluster.kill(host)
    const restarted = await cluster.restart(killed, (files) => lost.some((index) => killed[index]!.files === files) ? cluster.createDisk() : files.restartProcess())
    const entryHost = cluster.network.addHost('127.0.0.99:7660')
    await cluster.waitUntil(async () => (await restarted[0]!.process.plans.submit(createSubmission(1, 0))).result === PlanResult.Accepted, 'a plan is accepted')
    for (const { address } of restarted) {
      const reply = await cluster.waitFor(entryHost.callPeer<FollowReply>(address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000))
      const readiness = reply.upstreams.find(({ record }) => record.id === 'i-1')?.record.readiness
      assert.equal(readiness, UpstreamReadiness.Gone, `${address} knows that the upstream has left`)
    }
  })
}
