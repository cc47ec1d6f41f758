import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import type { PlanSubmission } from '../../src/plan/PlanEntry.js'
import { PlanResult } from '../../src/plan/PlanResult.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
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

function findReadiness ({ upstreams }: FollowReply, id: string): UpstreamReadiness | undefined {
  return upstreams.find(({ record }) => record.id === id)?.record.readiness
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

// Guards against an added route that waits for the next announcement of upstreams that were started just before the plan.
test('an upstream that announced itself before the plan had its service is usable as soon as the plan has it', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  assert.equal(await cluster.waitFor(cluster.hosts[0]!.process.upstreams.announce(ADDED_UPSTREAM)), AnnouncementResult.UnknownService)
  await cluster.advance(1_400)
  assert.equal(findReadiness(await follow(cluster, cluster.hosts[0]!), 'i-added'), undefined, 'not used before')
  await submit(cluster, createAddition(2, 1))
  await cluster.advance(200)
  for (const host of cluster.hosts) assert.equal(findReadiness(await follow(cluster, host), 'i-added'), UpstreamReadiness.Ready, host.address)
})

test('an upstream that has been silent for long when the plan gets its service is not used', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  await cluster.waitFor(cluster.hosts[0]!.process.upstreams.announce(ADDED_UPSTREAM))
  await cluster.advance(5_000)
  await submit(cluster, createAddition(2, 1))
  await cluster.advance(200)
  for (const host of cluster.hosts) assert.equal(findReadiness(await follow(cluster, host), 'i-added'), undefined, host.address)
})

test('an announcement with a service that the plan lacks takes nothing from an upstream that is known', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const known = createUpstreamRecord({ id: 'i-known' })
  const { upstreams } = cluster.hosts[0]!.process
  assert.equal(await cluster.waitFor(upstreams.announce(known)), AnnouncementResult.Accepted)
  const odd = [{ ...known, service: 'nowhere', sequence: 9 }, { ...known, service: 'nowhere', sequence: 10, readiness: UpstreamReadiness.Draining }, { ...known, id: 'i-other', service: 'nowhere', bornAt: 2_000 }]
  for (const record of odd) assert.equal(await cluster.waitFor(upstreams.announce(record)), AnnouncementResult.UnknownService)
  await submit(cluster, createAddition(2, 1))
  await cluster.advance(200)
  for (const host of cluster.hosts) {
    const reply = await follow(cluster, host)
    assert.deepEqual([findReadiness(reply, 'i-known'), findReadiness(reply, 'i-other')], [UpstreamReadiness.Ready, undefined], host.address)
  }
})

// Guards against an added route that a host which was behind can't serve until its upstreams announce themselves again.
test('upstreams that called a host which was behind are usable there once it has caught up', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  const lagging = cluster.hosts[2]!
  await cluster.advance(200)
  cutOff(cluster, lagging)
  const addition = createAddition(2, 1)
  await cluster.waitUntil(async () => (await cluster.hosts[0]!.process.plans.submit(addition)).result === PlanResult.Accepted, 'the added service')
  assert.equal(await cluster.waitFor(lagging.process.upstreams.announce(ADDED_UPSTREAM)), AnnouncementResult.UnknownService)
  cluster.network.heal()
  await cluster.waitUntil(async () => (await follow(cluster, lagging)).position.planVersion === 2, 'the host has caught up')
  await cluster.advance(50)
  for (const host of cluster.hosts) assert.equal(findReadiness(await follow(cluster, host), 'i-added'), UpstreamReadiness.Ready, host.address)
})

// Guards against upstreams that are left without an acknowledgement because their service was removed before they leave.
test('an upstream whose service was removed from the plan can still report that it drains, and leave', async (context: TestContext) => {
  const cluster = await ControlCluster.start(context, HOST_COUNT)
  await submit(cluster, createAddition(2, 1))
  await cluster.advance(200)
  const { upstreams } = cluster.hosts[1]!.process
  assert.equal(await cluster.waitFor(upstreams.announce(ADDED_UPSTREAM)), AnnouncementResult.Accepted)
  await submit(cluster, createSubmission(3, 2))
  await cluster.advance(200)
  assert.equal(await cluster.waitFor(upstreams.announce({ ...ADDED_UPSTREAM, sequence: 2, readiness: UpstreamReadiness.Draining })), AnnouncementResult.Accepted)
  assert.equal(await cluster.waitFor(upstreams.remove('i-added', ADDED_UPSTREAM.bornAt)), AnnouncementResult.Accepted)
})
