import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { EntryKind } from '../../src/agreement/EntryKind.js'
import type { AppendReply } from '../../src/agreement/messages/AppendReply.js'
import type { AppendRequest } from '../../src/agreement/messages/AppendRequest.js'
import type { VoteReply } from '../../src/agreement/messages/VoteReply.js'
import type { VoteRequest } from '../../src/agreement/messages/VoteRequest.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const OLD_TERM = 50

/** Settings of the simulated follower. */
interface Follower { confirmedUpTo: number }

interface Fixture { cluster: SheetCluster, host: ClusterHost, oldIndex: number, follower: Follower }

/** One real replica of three, with an entry of an old term and about to be elected; one follower is simulated, one is lost. */
async function startFixture (context: TestContext): Promise<Fixture> {
  const cluster = await SheetCluster.start(context, 1, 3)
  const host = cluster.getHost(0)
  const { identity: sender } = cluster.getHost(1).replicatedLog.status()
  cluster.kill(cluster.getHost(1))
  cluster.kill(cluster.getHost(2))
  const { callPeer, registerHandler } = cluster.network.addHost(cluster.getHost(1).address)
  const { identity: receiver, group = '', last } = host.replicatedLog.status()
  const oldIndex = last.index + 1
  const request: AppendRequest = {
    sender, receiver, group, term: OLD_TERM, heartbeat: false, previous: last, entries: [{ index: oldIndex, term: OLD_TERM, kind: EntryKind.NoOp }], commitIndex: 0
  }
  await cluster.waitFor(callPeer(host.address, PeerMethod.AppendEntries, request, 2_000))
  const follower = { confirmedUpTo: oldIndex }
  registerHandler(PeerMethod.RequestVote, ({ term }: VoteRequest): VoteReply => ({ term: term - 1, granted: true }))
  registerHandler(PeerMethod.AppendEntries, ({ term, previous, entries }: AppendRequest): AppendReply => {
    return { term, success: true, index: Math.min(follower.confirmedUpTo, previous.index + entries.length) }
  })
  return { cluster, host, oldIndex, follower }
}

test('a leader commits an entry of an older term only together with one of its own', async (context) => {
  const { cluster, host, oldIndex, follower } = await startFixture(context)
  await cluster.advanceUntil(() => host.replicatedLog.status().role === ReplicaRole.Leader, 'not elected')
  await cluster.advance(1_000)
  assert.ok(host.replicatedLog.status().commitIndex < oldIndex, 'an entry that another leader may still replace was committed')
  follower.confirmedUpTo = oldIndex + 1
  await cluster.advanceUntil(() => host.replicatedLog.status().commitIndex === oldIndex + 1, 'not committed')
})

test('a leader counts its own copy of an entry only once it is durable', async (context) => {
  const { cluster, host, oldIndex, follower } = await startFixture(context)
  follower.confirmedUpTo = Number.POSITIVE_INFINITY
  host.files.syncMilliseconds = 300
  await cluster.advanceUntil(() => host.replicatedLog.status().role === ReplicaRole.Leader, 'not elected')
  await cluster.advance(250)
  assert.ok(host.replicatedLog.status().commitIndex <= oldIndex)
  await cluster.advance(300)
  assert.equal(host.replicatedLog.status().commitIndex, oldIndex + 1)
})

test('a sheet that takes longer than the first timeout on a slow link is still replicated', async (context) => {
  const cluster = await SheetCluster.start(context, 2, 3)
  const leader = await cluster.waitForLeader()
  const [slow, lost] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  cluster.kill(lost)
  slow.files.syncMilliseconds = 1_500
  const answer = await cluster.waitFor(cluster.submit(leader, 1), 12_000)
  assert.equal(answer.accepted?.revision, 1)
  assert.equal(leader.replicatedLog.status().hasQuorum, true)
})
