import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { ReplicaRefusedError } from '../../src/errors/ReplicaRefusedError.js'
import { SheetCluster } from './support/SheetCluster.js'

test('replicas that were never bootstrapped elect no leader and accept nothing', async (context) => {
  const cluster = new SheetCluster(context, 1)
  for (let number = 0; number < 3; number += 1) await cluster.addHost()
  await cluster.advance(10_000)
  assert.deepEqual(cluster.hosts.map(({ replicatedLog }) => replicatedLog.status().role), Array(3).fill(ReplicaRole.Empty))
  const answer = await cluster.waitFor(cluster.submit(cluster.getHost(0), 1))
  assert.deepEqual([answer.result, answer.outcomeUnknown, answer.reason], [SubmitResult.NoQuorum, false, ReplicaRefusalReason.Empty])
})

test('a bootstrap repeated at another replica, after the first one was interrupted half-way, forms the same group', async (context) => {
  const cluster = new SheetCluster(context, 2)
  for (let number = 0; number < 5; number += 1) await cluster.addHost()
  const interruptedBootstrap = cluster.bootstrap(0)
  await cluster.advance(10)
  for (const address of cluster.listAddresses().slice(2)) cluster.network.cut(cluster.getHost(0).address, address)
  await assert.rejects(cluster.waitFor(interruptedBootstrap))
  await cluster.advance(10_000)
  assert.equal(cluster.listLeaders().length, 0, 'replicas that have not adopted the group must not vote')
  cluster.network.heal()
  await cluster.waitFor(cluster.bootstrap(3))
  await cluster.waitFor(cluster.bootstrap(0))
  await cluster.submitMany(await cluster.waitForLeader(), 1, 1)
  await cluster.waitForSheet(1)
  assert.equal(new Set(cluster.hosts.map(({ replicatedLog }) => replicatedLog.status().group)).size, 1)
})

test('a bootstrap that includes a replica of another group is refused', async (context) => {
  const cluster = await SheetCluster.start(context, 3, 3)
  await cluster.addHost()
  await assert.rejects(cluster.waitFor(cluster.bootstrap(3)), ReplicaRefusedError)
  assert.equal(cluster.getHost(3).replicatedLog.status().role, ReplicaRole.Empty)
})

test('a bootstrap that reaches a replica before it has read its data folder changes nothing, and succeeds afterwards', async (context) => {
  const cluster = new SheetCluster(context, 4)
  await cluster.addHost()
  await cluster.addHost()
  const opening = cluster.addUnopened()
  await assert.rejects(cluster.waitFor(cluster.bootstrap(0)), new RegExp(`the replica at ${opening.address} has not started`))
  assert.deepEqual(cluster.hosts.map(({ replicatedLog }) => replicatedLog.status().group), [undefined, undefined, undefined])
  await cluster.open(opening)
  await cluster.waitFor(cluster.bootstrap(0))
  await cluster.submitMany(await cluster.waitForLeader(), 1, 1)
  await cluster.waitForSheet(1)
})

test('a bootstrap waits for a replica that is slow to answer', async (context) => {
  const cluster = new SheetCluster(context, 5)
  for (let number = 0; number < 3; number += 1) await cluster.addHost()
  const [first, , slow] = cluster.listAddresses() as [string, string, string]
  cluster.network.setDelay(first, slow, 1_500)
  await cluster.waitFor(cluster.bootstrap(0))
  cluster.network.setDelay(first, slow, 5)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 1)
  await cluster.waitForSheet(1)
})
