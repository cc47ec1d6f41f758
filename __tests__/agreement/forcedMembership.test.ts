import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { ReplicaRefusedError } from '../../src/errors/ReplicaRefusedError.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

function getIdentity (host: ClusterHost): string {
  return host.replicatedLog.status().identity
}

test('after a majority is lost, one replica continues alone and the lost ones can never join again', async (context) => {
  const cluster = await SheetCluster.start(context, 11)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 3)
  await cluster.waitForSheet(3)
  const lost = [cluster.getHost(0), cluster.getHost(1), cluster.getHost(2)]
  for (const host of lost) cluster.kill(host)
  const survivor = cluster.getHost(3)
  await cluster.advance(5_000)
  assert.equal((await cluster.waitFor(cluster.submit(survivor, 4))).result, SubmitResult.NoQuorum)
  await assert.rejects(survivor.replicatedLog.forceNewMembership('another'), ReplicaRefusedError)
  await cluster.waitFor(survivor.replicatedLog.forceNewMembership(getIdentity(survivor)))
  await cluster.advanceUntil(() => survivor.replicatedLog.status().hasQuorum, 'no quorum')
  assert.equal((await cluster.waitFor(cluster.submit(survivor, 4))).accepted?.revision, 4)
  for (const host of lost.slice(1)) await cluster.restart(host)
  await cluster.advance(5_000)
  const { term } = survivor.replicatedLog.status()
  assert.equal(survivor.registry.current()?.number, 4)
  const replacement = await cluster.restartWithEmptyDisk(lost[0] as ClusterHost)
  assert.equal((await cluster.waitFor(survivor.replicatedLog.addLearner(replacement.address))).done, true)
  assert.equal((await cluster.waitFor(survivor.replicatedLog.promote(getIdentity(replacement)))).done, true)
  assert.equal(replacement.registry.current()?.number, 4)
  assert.equal(survivor.replicatedLog.status().term, term)
  const old = await cluster.waitFor(survivor.replicatedLog.addLearner(cluster.getHost(4).address))
  assert.equal(old.reason, ReplicaRefusalReason.Retired)
})

test('a membership is not forced while there is a leader', async (context) => {
  const cluster = await SheetCluster.start(context, 12)
  const follower = cluster.listFollowers()[0] as ClusterHost
  const forced = follower.replicatedLog.forceNewMembership(getIdentity(follower))
  await assert.rejects(cluster.waitFor(forced), ReplicaRefusedError)
  assert.equal(new Set(cluster.hosts.map(({ replicatedLog }) => replicatedLog.status().group)).size, 1)
})

test('a membership is not forced at a replica while a slowly answering member has a longer log', async (context) => {
  const cluster = await SheetCluster.start(context, 14)
  const leader = await cluster.waitForLeader()
  const [behind, ahead, ...rest] = cluster.listFollowers() as [ClusterHost, ClusterHost, ...ClusterHost[]]
  cluster.network.split([behind.address], cluster.listAddresses().filter((address) => address !== behind.address))
  await cluster.submitMany(leader, 1, 2)
  for (const host of [leader, ...rest]) cluster.kill(host)
  cluster.network.heal()
  cluster.network.setDelay(behind.address, ahead.address, 600)
  cluster.network.setDelay(ahead.address, behind.address, 600)
  const forced = behind.replicatedLog.forceNewMembership(getIdentity(behind))
  await assert.rejects(cluster.waitFor(forced), /holds a longer log/)
})
