import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReplicaCounter } from '../../src/agreement/ReplicaCounter.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { Fault } from './support/MemoryFiles.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const FULL_MILLISECONDS = 4_000
const BETWEEN_MILLISECONDS = 8_000

function fillDisk ({ files }: ClusterHost): void {
  files.fault = Fault.Error
  files.faultAtOperation = files.operationCount + 1
}

function emptyDisk ({ files }: ClusterHost): void {
  files.faultAtOperation = Number.POSITIVE_INFINITY
}

// Guards against a group that loses one replica for good with each disk that is full for a while, until no majority is left.
test('three disks that are full one after another leave all replicas in the group', async (context) => {
  const cluster = await SheetCluster.start(context, 1, 5)
  const fullHosts = cluster.listFollowers().slice(0, 3)
  for (const [index, host] of fullHosts.entries()) {
    fillDisk(host)
    await cluster.waitFor(cluster.submit(cluster.listLeaders()[0]!, index + 1))
    await cluster.advance(FULL_MILLISECONDS)
    assert.equal(host.replicatedLog.status().role, ReplicaRole.Stopped)
    emptyDisk(host)
    await cluster.advance(BETWEEN_MILLISECONDS)
  }
  const leader = await cluster.waitForLeader()
  assert.equal((await cluster.waitFor(cluster.submit(leader, 4))).result, 'accepted')
  await cluster.waitForSheet(4)
  for (const { replicatedLog } of fullHosts) assert.equal(replicatedLog.status().failure, undefined)
})

// Guards against a replica that never comes back because its disk was full at the moment at which it started.
test('a replica whose disk is full at its start takes part once there is room', async (context) => {
  const cluster = await SheetCluster.start(context, 2, 3)
  const [follower] = cluster.listFollowers() as [ClusterHost]
  cluster.kill(follower)
  const files = follower.files.createSurvivor()
  files.fault = Fault.Error
  files.faultAtOperation = 1
  const restarted = cluster.addUnopened(cluster.hosts.indexOf(follower), files)
  await assert.rejects(cluster.waitFor(restarted.replicatedLog.open()), /cannot write or sync/)
  restarted.replicatedLog.start()
  await cluster.advance(FULL_MILLISECONDS)
  assert.equal(restarted.replicatedLog.status().role, ReplicaRole.Stopped)
  emptyDisk(restarted)
  await cluster.advanceUntil(() => restarted.replicatedLog.status().isCurrent, 'the replica takes part again')
})

test('a replica whose files are corrupt stays stopped, and does not read them again and again', async (context) => {
  const cluster = await SheetCluster.start(context, 3, 3)
  const [follower] = cluster.listFollowers() as [ClusterHost]
  cluster.kill(follower)
  const files = follower.files.createSurvivor()
  files.damage('/data/vote', (content) => content.subarray(0, content.length - 1))
  const restarted = cluster.addUnopened(cluster.hosts.indexOf(follower), files)
  await assert.rejects(cluster.waitFor(restarted.replicatedLog.open()), /vote is corrupt/)
  restarted.replicatedLog.start()
  await cluster.advance(FULL_MILLISECONDS)
  assert.equal(restarted.counters.read(ReplicaCounter.StorageFailed), 1)
})
