import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberRole } from '../../src/agreement/MemberRole.js'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { ReplicaCounter } from '../../src/agreement/ReplicaCounter.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { MemoryFiles } from './support/MemoryFiles.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const SMALL_LIMITS = { snapshotAfterEntries: 20, keptEntries: 5, chunkBytes: 700 }

function getIdentity (host: ClusterHost): string {
  return host.replicatedLog.status().identity
}

test('a wiped host neither votes nor counts until it has replaced its lost identity', async (context) => {
  const cluster = await SheetCluster.start(context, 4)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 3)
  const [lost, other] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  const lostIdentity = getIdentity(lost)
  cluster.kill(lost)
  const wiped = await cluster.restartWithEmptyDisk(lost)
  await cluster.advance(5_000)
  assert.equal(wiped.replicatedLog.status().role, ReplicaRole.Empty)
  assert.ok(wiped.counters.read(ReplicaCounter.CallRefusedIdentity) > 0)
  cluster.kill(other)
  cluster.kill(await cluster.waitForLeader())
  await cluster.advance(5_000)
  assert.equal(cluster.listLeaders().length, 0, 'two old replicas and the wiped one must not be a majority')
  await cluster.restart(other)
  const answer = await cluster.waitFor((await cluster.waitForLeader()).replicatedLog.replace(lostIdentity, wiped.address))
  assert.equal(answer.done, true, answer.reason)
  assert.ok(answer.configuration?.retired.includes(lostIdentity))
  await cluster.submitMany(wiped, 4, 4)
  await cluster.waitForSheet(4)
})

test('a second host lost right after a repair loses nothing', async (context) => {
  for (let seed = 1; seed <= 5; seed += 1) {
    context.mock.timers.reset()
    context.mock.restoreAll()
    const cluster = await SheetCluster.start(context, seed, 5, SMALL_LIMITS)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 40)
    const [first, second] = cluster.listFollowers() as [ClusterHost, ClusterHost]
    const [firstIdentity, secondIdentity] = [getIdentity(first), getIdentity(second)]
    cluster.kill(first)
    await cluster.submitMany(await cluster.waitForLeader(), 41, 42)
    const repaired = await cluster.restartWithEmptyDisk(first)
    assert.equal((await cluster.waitFor((await cluster.waitForLeader()).replicatedLog.replace(firstIdentity, repaired.address))).done, true)
    cluster.kill(second)
    cluster.kill(await cluster.waitForLeader())
    assert.equal((await cluster.waitFor(cluster.submit(repaired, 43))).result, SubmitResult.Accepted)
    assert.deepEqual(repaired.registry.history().map(({ number }) => number), Array.from({ length: 43 }, (_, index) => index + 1))
    const wiped = await cluster.restartWithEmptyDisk(second)
    assert.equal((await cluster.waitFor((await cluster.waitForLeader()).replicatedLog.replace(secondIdentity, wiped.address))).done, true)
    await cluster.waitForSheet(43)
  }
})

test('a replacement interrupted at any moment can be repeated', async (context) => {
  for (let moment = 0; moment < 12; moment += 1) {
    context.mock.timers.reset()
    context.mock.restoreAll()
    const cluster = await SheetCluster.start(context, 50 + moment, 5, SMALL_LIMITS)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 30)
    const lost = cluster.listFollowers()[0] as ClusterHost
    const lostIdentity = getIdentity(lost)
    cluster.kill(lost)
    const repaired = await cluster.restartWithEmptyDisk(lost)
    const leader = await cluster.waitForLeader()
    const interruptedReplacement = leader.replicatedLog.replace(lostIdentity, repaired.address).catch(() => undefined)
    await cluster.advance(moment * 15)
    cluster.kill(leader)
    await cluster.waitFor(interruptedReplacement)
    const answer = await cluster.waitFor((await cluster.waitForLeader()).replicatedLog.replace(lostIdentity, repaired.address))
    assert.equal(answer.done, true, answer.reason)
    const roles = answer.configuration?.members.map(({ role }) => role)
    assert.deepEqual(roles, Array(5).fill(MemberRole.Voter))
    await cluster.submitMany(await cluster.waitForLeader(), 31, 31)
    await cluster.waitForSheet(31)
  }
})

test('a replacement repeated after the new replica has become the leader succeeds', async (context) => {
  const cluster = await SheetCluster.start(context, 14, 3)
  const lost = cluster.listFollowers()[0] as ClusterHost
  const lostIdentity = getIdentity(lost)
  cluster.kill(lost)
  const repaired = await cluster.restartWithEmptyDisk(lost)
  assert.equal((await cluster.waitFor((await cluster.waitForLeader()).replicatedLog.replace(lostIdentity, repaired.address))).done, true)
  while (await cluster.waitForLeader() !== repaired) {
    const leader = await cluster.waitForLeader()
    cluster.kill(leader)
    await cluster.waitForLeader()
    await cluster.restart(leader)
  }
  const answer = await cluster.waitFor(repaired.replicatedLog.replace(lostIdentity, repaired.address))
  assert.deepEqual([answer.done, answer.reason], [true, undefined])
})

test('a removed replica that restarts with its disk is refused and does not disturb the group', async (context) => {
  const cluster = await SheetCluster.start(context, 6)
  const removed = cluster.listFollowers()[0] as ClusterHost
  const identity = getIdentity(removed)
  cluster.kill(removed)
  const leader = await cluster.waitForLeader()
  assert.equal((await cluster.waitFor(leader.replicatedLog.remove(identity))).done, true)
  const { term } = leader.replicatedLog.status()
  const restarted = await cluster.restart(removed)
  await cluster.advance(20_000)
  assert.equal(leader.replicatedLog.status().term, term)
  assert.ok(cluster.hosts.some(({ counters }) => counters.read(ReplicaCounter.CallRefusedRetired) > 0))
  assert.equal((await cluster.waitFor(leader.replicatedLog.addLearner(restarted.address))).reason, ReplicaRefusalReason.Retired)
})

test('a learner that has not caught up is not promoted', async (context) => {
  const cluster = await SheetCluster.start(context, 7, 3)
  const added = await cluster.addHost()
  const leader = await cluster.waitForLeader()
  assert.equal((await cluster.waitFor(leader.replicatedLog.addLearner(added.address))).done, true)
  await cluster.advanceUntil(() => added.replicatedLog.status().role === ReplicaRole.Follower, 'not joined')
  cluster.network.split([added.address], cluster.listAddresses().slice(0, 3))
  await cluster.submitMany(leader, 1, 2)
  assert.equal((await cluster.waitFor(leader.replicatedLog.promote(getIdentity(added)))).reason, ReplicaRefusalReason.NotCaughtUp)
  assert.equal(added.replicatedLog.status().role, ReplicaRole.Follower)
})

for (const missed of [3, 60, 500]) {
  test(`a replica that was down for ${missed} changes catches up after its restart`, async (context) => {
    const cluster = await SheetCluster.start(context, 8, 5, SMALL_LIMITS)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 10)
    const downReplica = cluster.listFollowers()[0] as ClusterHost
    cluster.kill(downReplica)
    await cluster.submitMany(await cluster.waitForLeader(), 11, 10 + missed)
    const restarted = await cluster.restart(downReplica)
    await cluster.advanceUntil(() => restarted.registry.current()?.number === 10 + missed, 'not caught up', 5_000)
    assert.equal(restarted.counters.read(ReplicaCounter.SnapshotInstalled), missed > 50 ? 1 : 0)
    assert.equal(restarted.registry.history().length, 10 + missed)
  })
}

test('a full disk stops a replica until there is room, and the others continue', async (context) => {
  const cluster = await SheetCluster.start(context, 9)
  for (const fullDiskHost of [await cluster.waitForLeader(), cluster.listFollowers()[0] as ClusterHost]) {
    fullDiskHost.files.faultAtOperation = fullDiskHost.files.operationCount + 1
    const others = cluster.listRunning().filter((host) => host !== fullDiskHost && host.replicatedLog.status().failure === undefined)
    const number = (others[0]?.registry.current()?.number ?? 0) + 1
    const answer = await cluster.waitFor(cluster.submit(others[0] as ClusterHost, number))
    assert.equal(answer.result, SubmitResult.Accepted)
    await cluster.advanceUntil(() => others.every(({ registry }) => registry.current()?.number === number), 'others')
    await cluster.advance(5_000)
    assert.equal(fullDiskHost.replicatedLog.status().role, ReplicaRole.Stopped)
    const forwardedAnswer = await cluster.waitFor(cluster.submit(fullDiskHost, number + 1))
    assert.equal(forwardedAnswer.result, SubmitResult.Accepted, 'the other replicas accept the submission to the stopped one')
    assert.match(fullDiskHost.replicatedLog.status().failure ?? '', /cannot write or sync/)
    assert.ok(fullDiskHost.counters.read(ReplicaCounter.StorageFailed) >= 1)
    fullDiskHost.files.faultAtOperation = Number.POSITIVE_INFINITY
    await cluster.advanceUntil(() => fullDiskHost.replicatedLog.status().isCurrent, 'the replica takes part again')
    await cluster.waitForSheet(number + 1)
    assert.equal(fullDiskHost.replicatedLog.status().failure, undefined)
  }
})

test('a crash of the leader or a follower at any file operation of a change loses no accepted sheet', async (context) => {
  for (const isLeader of [true, false]) {
    for (let faultAt = 1; faultAt <= 10; faultAt += 1) {
      context.mock.timers.reset()
      context.mock.restoreAll()
      const cluster = await SheetCluster.start(context, faultAt, 3, { snapshotAfterEntries: 2, keptEntries: 1 })
      const crashing = isLeader ? await cluster.waitForLeader() : cluster.listFollowers()[0] as ClusterHost
      cluster.scheduleCrash(crashing, faultAt)
      await cluster.submitMany(cluster.hosts.find((host) => host !== crashing) as ClusterHost, 1, 6)
      if (crashing.files.hasCrashed) cluster.kill(crashing)
      if (crashing.files.hasCrashed) await cluster.restart(crashing)
      await cluster.submitMany(await cluster.waitForLeader(), 7, 7)
      await cluster.waitForSheet(7)
    }
  }
})

test('a crash at any file operation while a snapshot is installed loses nothing', async (context) => {
  for (let faultAt = 1; faultAt <= 28; faultAt += 1) {
    context.mock.timers.reset()
    context.mock.restoreAll()
    const cluster = await SheetCluster.start(context, faultAt, 3, SMALL_LIMITS)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 3)
    const disconnected = cluster.listFollowers()[0] as ClusterHost
    const others = cluster.listAddresses().filter((address) => address !== disconnected.address)
    cluster.network.split([disconnected.address], others)
    await cluster.submitMany(await cluster.waitForLeader(), 4, 60)
    cluster.scheduleCrash(disconnected, (faultAt + 1) >> 1)
    disconnected.files.slowPathPattern = /snapshot/
    disconnected.files.syncMilliseconds = faultAt % 2 === 0 ? 1_000 : 0
    cluster.network.heal()
    await cluster.advance(1_500)
    cluster.kill(disconnected)
    await cluster.restart(disconnected)
    await cluster.submitMany(await cluster.waitForLeader(), 61, 61)
    await cluster.waitForSheet(61)
  }
})

test('an empty replica with a slow disk joins by a snapshot in many chunks', async (context) => {
  const cluster = await SheetCluster.start(context, 13, 3, SMALL_LIMITS)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 60)
  const files = new MemoryFiles(cluster.random)
  files.syncMilliseconds = 30
  const added = await cluster.addHost(files)
  const leader = await cluster.waitForLeader()
  assert.equal((await cluster.waitFor(leader.replicatedLog.addLearner(added.address))).done, true)
  assert.equal((await cluster.waitFor(leader.replicatedLog.promote(getIdentity(added)))).done, true)
  await cluster.waitForSheet(60)
})
