import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { AppendReply } from '../../src/agreement/messages/AppendReply.js'
import type { AppendRequest } from '../../src/agreement/messages/AppendRequest.js'
import type { VoteReply } from '../../src/agreement/messages/VoteReply.js'
import type { VoteRequest } from '../../src/agreement/messages/VoteRequest.js'
import { EntryKind } from '../../src/agreement/EntryKind.js'
import { ProposalOutcome } from '../../src/agreement/ProposalOutcome.js'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SheetEntryKind } from '../../src/agreement/sheets/SheetEntryKind.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const TERM = 50
const SYNC_MILLISECONDS = 200

interface Fixture { cluster: SheetCluster, host: ClusterHost, callAs: (number: number) => CallPeer, vote: (sender: number) => VoteRequest }

/** One real replica of three; the test simulates the two others. */
async function startFixture (context: TestContext): Promise<Fixture> {
  const cluster = await SheetCluster.start(context, 1, 3)
  const host = cluster.getHost(0)
  const identities = cluster.hosts.map(({ replicatedLog }) => replicatedLog.status().identity)
  cluster.kill(cluster.getHost(1))
  cluster.kill(cluster.getHost(2))
  const peers = [1, 2].map((number) => cluster.network.addHost(cluster.getHost(number).address))
  await cluster.advance(1_000)
  const group = host.replicatedLog.status().group ?? ''
  const vote = (sender: number): VoteRequest => ({
    sender: identities[sender] ?? '', receiver: identities[0] ?? '', group, term: TERM, preVote: false, handover: false, last: { index: 100, term: TERM - 1 }
  })
  return { cluster, host, callAs: (number) => (peers[number - 1] as { callPeer: CallPeer }).callPeer, vote }
}

function requestVote ({ callAs, host, vote }: Fixture, sender: number): Promise<VoteReply> {
  return callAs(sender)<VoteReply>(host.address, PeerMethod.RequestVote, vote(sender), 2_000)
}

test('a vote is answered only once it is durable', async (context) => {
  const scene = await startFixture(context)
  scene.host.files.syncMilliseconds = SYNC_MILLISECONDS
  const replies: VoteReply[] = []
  requestVote(scene, 1).then((reply) => replies.push(reply), () => {})
  await scene.cluster.advance(SYNC_MILLISECONDS - 20)
  assert.deepEqual(replies, [])
  await scene.cluster.advance(2 * SYNC_MILLISECONDS)
  assert.deepEqual(replies, [{ term: TERM, granted: true }])
})

test('an answered vote survives a crash: no other candidate gets it in the same term', async (context) => {
  const scene = await startFixture(context)
  assert.equal((await scene.cluster.waitFor(requestVote(scene, 1))).granted, true)
  scene.cluster.kill(scene.host)
  scene.host = await scene.cluster.restart(scene.host)
  await scene.cluster.advance(1_000)
  assert.equal((await scene.cluster.waitFor(requestVote(scene, 2))).granted, false)
  assert.equal((await scene.cluster.waitFor(requestVote(scene, 1))).granted, true)
})

test('a restarted replica does not vote during the minimum election timeout', async (context) => {
  const scene = await startFixture(context)
  scene.cluster.kill(scene.host)
  scene.host = await scene.cluster.restart(scene.host)
  assert.equal((await scene.cluster.waitFor(requestVote(scene, 1))).granted, false)
  await scene.cluster.advance(1_000)
  assert.equal((await scene.cluster.waitFor(requestVote(scene, 1))).granted, true)
})

test('a candidate asks for votes only once its own vote is durable', async (context) => {
  const { cluster, host } = await startFixture(context)
  const requests: Array<{ preVote: boolean, at: number }> = []
  const { registerHandler } = cluster.network.addHost(cluster.getHost(1).address)
  registerHandler(PeerMethod.RequestVote, ({ preVote, term }: VoteRequest): VoteReply => {
    requests.push({ preVote, at: performance.now() })
    return { term: preVote ? term - 1 : term, granted: preVote }
  })
  host.files.syncMilliseconds = SYNC_MILLISECONDS
  await cluster.advanceUntil(() => requests.some(({ preVote }) => !preVote), 'no candidate')
  const lastPreVoteAt = requests.filter(({ preVote }) => preVote).at(-1)?.at ?? 0
  const votesRequestedAt = requests.find(({ preVote }) => !preVote)?.at ?? 0
  assert.ok(votesRequestedAt - lastPreVoteAt >= SYNC_MILLISECONDS, `asked ${votesRequestedAt - lastPreVoteAt} ms after the pre-vote`)
})

test('entries are confirmed only once they are durable, even in the answer to an empty call', async (context) => {
  const { cluster, host, callAs, vote } = await startFixture(context)
  host.files.syncMilliseconds = SYNC_MILLISECONDS
  const { last } = host.replicatedLog.status()
  const { preVote, ...call } = vote(1)
  const entry = { index: last.index + 1, term: TERM, kind: EntryKind.NoOp }
  const full: AppendRequest = { ...call, heartbeat: false, previous: last, entries: [entry], commitIndex: 0 }
  const empty: AppendRequest = { ...full, previous: { index: entry.index, term: TERM }, entries: [] }
  await cluster.waitFor(callAs(1)(host.address, PeerMethod.AppendEntries, { ...full, entries: [] }, 2_000))
  const replies: AppendReply[] = []
  const send = (request: AppendRequest): Promise<unknown> => callAs(1)<AppendReply>(host.address, PeerMethod.AppendEntries, request, 2_000).then((reply) => replies.push(reply), () => {})
  for (const request of [full, empty]) send(request)
  await cluster.advance(SYNC_MILLISECONDS - 20)
  assert.equal(replies.some(({ index }) => index >= entry.index), false)
  await cluster.advance(SYNC_MILLISECONDS)
  for (const request of [full, empty]) await cluster.waitFor(send(request))
  assert.deepEqual(replies.slice(-2), Array(2).fill({ term: TERM, success: true, index: entry.index, held: entry.index }))
})

const refusedRequests: Array<{ name: string, change: (request: VoteRequest) => VoteRequest }> = [
  { name: 'for another replica at the same address', change: (request) => ({ ...request, receiver: 'replica-wiped' }) },
  { name: 'from another group', change: (request) => ({ ...request, group: 'other' }) }
]

for (const { name, change } of refusedRequests) {
  test(`a vote request ${name} is refused, and the term does not change`, async (context) => {
    const scene = await startFixture(context)
    const { term } = scene.host.replicatedLog.status()
    const refusedCall = scene.callAs(1)<VoteReply>(scene.host.address, PeerMethod.RequestVote, change(scene.vote(1)), 2_000)
    await assert.rejects(scene.cluster.waitFor(refusedCall))
    assert.equal(scene.host.replicatedLog.status().term, term)
  })
}

test('a leader whose lease expired while its process was stalled answers that there is no quorum', async (context) => {
  const cluster = await SheetCluster.start(context, 3, 3)
  const leader = await cluster.waitForLeader()
  context.mock.method(performance, 'now', () => Date.now() - 1_000_000 + 700)
  assert.equal(leader.replicatedLog.status().role, ReplicaRole.Leader)
  assert.equal(leader.replicatedLog.status().hasQuorum, false)
  const entry = { kind: SheetEntryKind.Submit, number: 1, digest: digestOf('x'), operator: 'ana', submittedAt: 0, packedContent: '' }
  const answer = await leader.replicatedLog.propose(entry)
  assert.deepEqual(answer, { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NoQuorum })
})

const logs = [
  { name: 'a longer log of an older term', index: 10, term: -1, granted: false },
  { name: 'a shorter log of the same term', index: -1, term: 0, granted: false },
  { name: 'an equal log', index: 0, term: 0, granted: true },
  { name: 'a shorter log of a newer term', index: -1, term: 1, granted: true }
]

for (const { name, index, term, granted } of logs) {
  for (const preVote of [true, false]) {
    test(`a candidate with ${name} ${granted ? 'gets' : 'does not get'} the ${preVote ? 'pre-vote' : 'vote'}`, async (context) => {
      const scene = await startFixture(context)
      const { last } = scene.host.replicatedLog.status()
      const request = { ...scene.vote(1), preVote, last: { index: last.index + index, term: last.term + term } }
      const reply = await scene.cluster.waitFor(scene.callAs(1)<VoteReply>(scene.host.address, PeerMethod.RequestVote, request, 2_000))
      assert.equal(reply.granted, granted)
    })
  }
}

test('a replica in contact with a leader does not vote and keeps its term', async (context) => {
  const cluster = await SheetCluster.start(context, 4, 3)
  await cluster.submitMany(await cluster.waitForLeader(), 1, 1)
  const [voter, sender] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  const { identity: receiver, group = '', term } = voter.replicatedLog.status()
  const request: VoteRequest = { sender: sender.replicatedLog.status().identity, receiver, group, term: TERM, preVote: false, handover: false, last: { index: 100, term: TERM } }
  const reply = await cluster.waitFor(sender.callPeer<VoteReply>(voter.address, PeerMethod.RequestVote, request, 2_000))
  assert.deepEqual(reply, { term, granted: false })
})

for (const { name, index, granted } of logs.filter(({ term }) => term === 0)) {
  test(`a replica in contact with a leader ${granted ? 'votes' : 'does not vote'} for a candidate with ${name} to which the leader transfers its leadership`, async (context) => {
    const cluster = await SheetCluster.start(context, 4, 3)
    await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
    await cluster.waitForSheet(2)
    const [voter, sender] = cluster.listFollowers() as [ClusterHost, ClusterHost]
    const { identity: receiver, group = '', term, last } = voter.replicatedLog.status()
    const request: VoteRequest = { sender: sender.replicatedLog.status().identity, receiver, group, term: term + 1, preVote: false, handover: true, last: { ...last, index: last.index + index } }
    const reply = await cluster.waitFor(sender.callPeer<VoteReply>(voter.address, PeerMethod.RequestVote, request, 2_000))
    assert.deepEqual(reply, { term: term + 1, granted })
  })
}
