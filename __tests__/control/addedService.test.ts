import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import type { PlanSubmission } from '../../src/plan/PlanEntry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { createRoute, createSubmission } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { ControlCluster, FOLLOW_REQUEST, type ClusterControlHost } from './ControlCluster.js'

const HOST_COUNT = 3
/** Above the number of entries after which a replica takes a snapshot. */
const SNAPSHOT_ORDERS = 1_250
const PARALLEL_ORDERS = 250
const ADDED_UPSTREAM = createUpstreamRecord({ id: 'i-added', service: 'pedidos' })

/** @returns a submission whose plan has a second service, with a route to it */
function createAddition (version: number, baseVersion: number): PlanSubmission {
  const submission = createSubmission(version, baseVersion, 'addition')
  const { plan } = submission
  const routes = [...plan.routes, createRoute({ name: 'orders', pathPrefix: '/orders/', targets: [{ service: 'pedidos', weight: 1 }] })]
  return { ...submission, plan: { ...plan, routes, services: [...plan.services, { ...plan.services[0]!, name: 'pedidos' }] } }
}

async function submit (cluster: ControlCluster, submission: PlanSubmission): Promise<void> {
  assert.equal((await cluster.waitFor(cluster.hosts[0]!.process.plans.submit(submission))).result, PlanResult.Accepted)
}

async function follow (cluster: ControlCluster, { address }: ClusterControlHost): Promise<FollowReply> {
  return await cluster.waitFor(cluster.network.addHost('127.0.0.99:7660').callPeer<FollowReply>(address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000))
}

function cutOff (cluster: ControlCluster, { address }: ClusterControlHost): void {
  for (const other of cluster.hosts) {
    cluster.network.cut(address, other.address)
    cluster.network.cut(other.address, address)
  }
}

// Guards against a restarted host that refuses upstreams of a service that the newest plan it knows has.
test('a host that restarts cut off accepts upstreams of a service of the plan that it recalls', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  for (let sent = 0; sent < SNAPSHOT_ORDERS; sent += PARALLEL_ORDERS) {
    await cluster.waitFor(Promise.all(Array.from({ length: PARALLEL_ORDERS }, async () => await cluster.hosts[0]!.process.plans.evacuate('domain-9', true))))
  }
  await submit(cluster, createAddition(2, 1))
  await cluster.advance(500)
  const killed = cluster.hosts[2]!
  cluster.kill(killed)
  cutOff(cluster, killed)
  const [restarted] = await cluster.restart([killed], (files) => files.restartProcess())
  assert.equal((await follow(cluster, restarted!)).position.planVersion, 2)
  assert.equal(await cluster.waitFor(restarted!.process.upstreams.announce(ADDED_UPSTREAM)), AnnouncementResult.Accepted)
})
