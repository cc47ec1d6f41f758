import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { SnapshotChunkReply } from '../../src/agreement/messages/SnapshotChunkReply.js'
import type { SnapshotChunkRequest } from '../../src/agreement/messages/SnapshotChunkRequest.js'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { encodeSnapshot } from '../../src/agreement/storage/ReplicaStorage.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const SYNC_MILLISECONDS = 100
const TERM = 50

function createFullSnapshotRequest (host: ClusterHost, group: string): SnapshotChunkRequest {
  const position = { index: 40, term: TERM }
  const file = encodeSnapshot({ group, position, configuration: { members: [], retired: [] } })
  return { sender: 'leader', receiver: host.replicatedLog.status().identity, group, term: TERM, position, offset: 0, totalBytes: file.length, data: file.toString('base64') }
}

for (const isEmpty of [true, false]) {
  test(`a snapshot is confirmed by ${isEmpty ? 'an empty replica' : 'a follower'} only once it is durable`, async (context) => {
    const cluster = await SheetCluster.start(context, 1, 3)
    const host = isEmpty ? await cluster.addHost() : cluster.getHost(0)
    const otherHost = cluster.getHost(1)
    const { group = '' } = otherHost.replicatedLog.status()
    host.files.syncMilliseconds = SYNC_MILLISECONDS
    const replies: SnapshotChunkReply[] = []
    const call = otherHost.callPeer<SnapshotChunkReply>(host.address, PeerMethod.InstallSnapshot, createFullSnapshotRequest(host, group), 5_000)
    call.then((reply) => replies.push(reply), () => {})
    const previousOperationCount = host.files.operationCount
    await cluster.advanceUntil(() => host.files.operationCount > previousOperationCount, 'no write')
    assert.deepEqual(replies, [])
    await cluster.advanceUntil(() => replies.length > 0, 'no answer')
    assert.deepEqual(replies, [{ term: TERM, nextOffset: createFullSnapshotRequest(host, group).totalBytes, installed: true }])
    cluster.kill(host)
    const restarted = await cluster.restart(host)
    assert.equal(restarted.replicatedLog.status().last.index, 40)
    assert.equal(restarted.replicatedLog.status().role, ReplicaRole.Follower)
  })
}

test('a snapshot chunk that is out of order, damaged or too large changes nothing', async (context) => {
  const cluster = await SheetCluster.start(context, 2, 3)
  const host = await cluster.addHost()
  const { group = '' } = cluster.getHost(1).replicatedLog.status()
  const fullRequest = createFullSnapshotRequest(host, group)
  const send = (change: Partial<SnapshotChunkRequest>): Promise<SnapshotChunkReply> =>
    cluster.waitFor(cluster.getHost(1).callPeer<SnapshotChunkReply>(host.address, PeerMethod.InstallSnapshot, { ...fullRequest, ...change }, 5_000))
  assert.equal((await send({ offset: 10 })).nextOffset, 0)
  await assert.rejects(send({ totalBytes: 10 ** 12 }))
  const damaged = Buffer.from(fullRequest.data, 'base64')
  damaged[30] = (damaged[30] ?? 0) ^ 1
  await assert.rejects(send({ data: damaged.toString('base64') }))
  assert.equal(host.replicatedLog.status().role, ReplicaRole.Empty)
  assert.equal((await send({})).installed, true)
})

test('a membership change is refused until the one before it is committed', async (context) => {
  const cluster = await SheetCluster.start(context, 3)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 1)
  const leader = await cluster.waitForLeader()
  const [first, second, ...slow] = cluster.listFollowers() as [ClusterHost, ClusterHost, ...ClusterHost[]]
  for (const { files } of [second, ...slow]) files.syncMilliseconds = 9_000
  const [firstIdentity, secondIdentity] = [first, second].map(({ replicatedLog }) => replicatedLog.status().identity) as [string, string]
  assert.equal((await cluster.waitFor(leader.replicatedLog.remove(firstIdentity))).reason, ReplicaRefusalReason.CommitTimeout)
  assert.equal((await cluster.waitFor(leader.replicatedLog.remove(secondIdentity))).reason, ReplicaRefusalReason.ChangeInProgress)
  assert.equal(leader.replicatedLog.status().configuration.members.length, 4)
})
