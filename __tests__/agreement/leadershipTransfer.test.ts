import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ProposalOutcome } from '../../src/agreement/ProposalOutcome.js'
import { ReplicaCounter } from '../../src/agreement/ReplicaCounter.js'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { ReplicaRole } from '../../src/agreement/ReplicaRole.js'
import { defaultReplicaTimings } from '../../src/agreement/ReplicaTimings.js'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SheetEntryKind } from '../../src/agreement/sheets/SheetEntryKind.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const LIMIT_MILLISECONDS = defaultReplicaTimings.handoverMilliseconds
/** Two message delays for the request, two for the votes, and some steps of the paused clock. */
const EXPECTED_MILLISECONDS = 100

interface Fixture { cluster: SheetCluster, leader: ClusterHost, followers: ClusterHost[] }

interface TransferCase {
  name: string
  /** Fault injected just before the planned stop of the leader. */
  before?: (scene: Fixture) => Promise<void> | void
  isTransferred: boolean
  limitMilliseconds: number
  after?: (scene: Fixture, successor: ClusterHost) => void
}

function getIdentity (host: ClusterHost): string {
  return host.replicatedLog.status().identity
}

const cases: TransferCase[] = [
  {
    name: 'no fault',
    isTransferred: true,
    limitMilliseconds: EXPECTED_MILLISECONDS,
    after: ({ leader }) => assert.equal(leader.counters.read(ReplicaCounter.LeadershipTransferCompleted), 1)
  },
  {
    name: 'a follower lost',
    before: ({ cluster, followers: [gone] }) => cluster.kill(gone as ClusterHost),
    isTransferred: true,
    limitMilliseconds: 2 * EXPECTED_MILLISECONDS
  },
  {
    name: 'the first request lost',
    before: ({ cluster }) => cluster.network.loseCalls(PeerMethod.HandOver, 1),
    isTransferred: true,
    limitMilliseconds: defaultReplicaTimings.callMilliseconds + EXPECTED_MILLISECONDS,
    after: ({ leader }) => assert.equal(leader.counters.read(ReplicaCounter.LeadershipTransferUnanswered), 1)
  },
  {
    name: 'every request lost',
    before: ({ cluster }) => cluster.network.loseCalls(PeerMethod.HandOver, 10),
    isTransferred: false,
    limitMilliseconds: LIMIT_MILLISECONDS,
    after: ({ leader }) => assert.equal(leader.counters.read(ReplicaCounter.LeadershipTransferAbandoned), 1)
  },
  {
    name: 'three followers behind',
    before: async ({ cluster, leader, followers }) => {
      const behind = followers.slice(0, 3)
      for (const host of behind) cluster.network.cut(leader.address, host.address)
      cluster.submit(leader, 2).catch(() => {})
      await cluster.advance(20)
    },
    isTransferred: false,
    limitMilliseconds: LIMIT_MILLISECONDS,
    after: ({ leader }) => assert.equal(leader.counters.read(ReplicaCounter.LeadershipTransferRefused), 0)
  },
  {
    name: 'two followers behind',
    before: async ({ cluster, leader, followers }) => {
      for (const host of followers.slice(0, 2)) cluster.network.cut(leader.address, host.address)
      await cluster.waitFor(cluster.submit(leader, 2))
    },
    isTransferred: true,
    limitMilliseconds: EXPECTED_MILLISECONDS,
    after: ({ followers }, successor) => assert.ok(!followers.slice(0, 2).includes(successor))
  },
  {
    name: 'a membership change pending',
    before: async ({ cluster, leader, followers: [removed] }) => {
      leader.replicatedLog.remove(getIdentity(removed as ClusterHost)).catch(() => {})
      await cluster.advance(0)
    },
    isTransferred: true,
    limitMilliseconds: EXPECTED_MILLISECONDS,
    after: ({ followers: [removed] }, successor) => {
      assert.notEqual(successor, removed)
      assert.deepEqual(successor.replicatedLog.status().configuration.retired, [getIdentity(removed as ClusterHost)])
    }
  },
  {
    name: 'a membership change that cannot be committed',
    before: async ({ cluster, leader, followers }) => {
      for (const host of followers.slice(0, 3)) cluster.network.cut(leader.address, host.address)
      leader.replicatedLog.remove(getIdentity(followers[3] as ClusterHost)).catch(() => {})
      await cluster.advance(0)
    },
    isTransferred: false,
    limitMilliseconds: LIMIT_MILLISECONDS
  },
  {
    name: 'all followers disconnected',
    before: async ({ cluster, leader, followers }) => {
      for (const host of followers) cluster.network.split([leader.address], [host.address])
      await cluster.advance(defaultReplicaTimings.leaseMilliseconds - 50)
    },
    isTransferred: false,
    limitMilliseconds: LIMIT_MILLISECONDS
  },
  {
    name: 'a follower stopped at the same time',
    before: async ({ cluster, followers: [stopped] }) => {
      (stopped as ClusterHost).isRunning = false
      await cluster.waitFor((stopped as ClusterHost).replicatedLog.stop())
    },
    isTransferred: true,
    limitMilliseconds: EXPECTED_MILLISECONDS
  },
  {
    name: 'the transfer requested twice',
    before: ({ leader }) => { leader.replicatedLog.handOver().catch(() => {}) },
    isTransferred: true,
    limitMilliseconds: EXPECTED_MILLISECONDS,
    after: ({ leader }) => assert.equal(leader.counters.read(ReplicaCounter.LeadershipTransferCompleted), 1)
  }
]

for (const { name, before, isTransferred, limitMilliseconds, after } of cases) {
  test(`a planned stop of a leader with ${name} ${isTransferred ? 'transfers the leadership' : 'ends without a transfer'} in time`, async (context) => {
    const cluster = await SheetCluster.start(context, 21)
    const leader = await cluster.waitForLeader()
    await cluster.waitFor(cluster.submit(leader, 1))
    await cluster.waitForSheet(1)
    const scene = { cluster, leader, followers: cluster.listFollowers() }
    await before?.(scene)
    const startedAt = performance.now()
    assert.equal(await cluster.waitFor(leader.replicatedLog.handOver()), isTransferred)
    assert.ok(performance.now() - startedAt <= limitMilliseconds + 10, `took ${performance.now() - startedAt} ms`)
    assert.equal(leader.replicatedLog.status().hasQuorum, false)
    await cluster.waitFor(leader.replicatedLog.stop())
    leader.isRunning = false
    cluster.network.removeHost(leader.address)
    cluster.network.heal()
    const successor = await cluster.waitForLeader()
    after?.(scene, successor)
    await cluster.waitFor(cluster.submit(successor, 2))
    await cluster.waitFor(cluster.submit(successor, 3))
    await cluster.advanceUntil(() => successor.registry.current()?.number === 3, 'not accepted')
  })
}

test('a submission during a planned stop waits for at most one retry', async (context) => {
  const cluster = await SheetCluster.start(context, 22)
  const leader = await cluster.waitForLeader()
  const [follower] = cluster.listFollowers() as [ClusterHost]
  const startedAt = performance.now()
  const handedOver = leader.replicatedLog.handOver()
  const answer = await cluster.waitFor(cluster.submit(follower, 1))
  assert.equal(answer.result, SubmitResult.Accepted)
  assert.ok(performance.now() - startedAt <= 300, `took ${performance.now() - startedAt} ms`)
  assert.equal(await cluster.waitFor(handedOver), true)
})

test('a leader that transfers its leadership accepts no proposals, even while no follower answers', async (context) => {
  const cluster = await SheetCluster.start(context, 25)
  const leader = await cluster.waitForLeader()
  cluster.network.loseCalls(PeerMethod.HandOver, 10)
  const handedOver = leader.replicatedLog.handOver()
  const entry = { kind: SheetEntryKind.Submit, number: 1, digest: digestOf('x'), operator: 'ana', submittedAt: 0, packedContent: '' }
  const answer = await leader.replicatedLog.propose(entry)
  assert.deepEqual(answer, { outcome: ProposalOutcome.NotAccepted, reason: ReplicaRefusalReason.NotLeader })
  await cluster.waitFor(handedOver)
})

test('a successor that transfers the leadership again at once loses no accepted sheet', async (context) => {
  const cluster = await SheetCluster.start(context, 23)
  for (let number = 1; number <= 3; number += 1) {
    const leader = await cluster.waitForLeader()
    assert.equal((await cluster.waitFor(cluster.submit(leader, number))).result, SubmitResult.Accepted)
    const { term } = leader.replicatedLog.status()
    assert.equal(await cluster.waitFor(leader.replicatedLog.handOver()), true)
    assert.equal(leader.replicatedLog.status().term, term + 1)
    assert.equal(leader.replicatedLog.status().role, ReplicaRole.Follower)
  }
  await cluster.waitForSheet(3)
  assert.deepEqual((await cluster.waitForLeader()).registry.history().map(({ number }) => number), [1, 2, 3])
})

const invalidRequests = [
  { name: 'another term', change: { term: 1_000 } },
  { name: 'a replica that is not the leader', change: { sender: 'replica-0' } },
  { name: 'a leader with a longer log', change: { last: { index: 1_000, term: 1 } } }
]

for (const { name, change } of invalidRequests) {
  test(`a leadership transfer from ${name} is refused, and the leader remains`, async (context) => {
    const cluster = await SheetCluster.start(context, 24)
    const leader = await cluster.waitForLeader()
    const [follower] = cluster.listFollowers() as [ClusterHost]
    const { identity: receiver, group = '', term } = follower.replicatedLog.status()
    const last = change.last === undefined ? leader.replicatedLog.status().last : { ...change.last, term }
    const request = { sender: getIdentity(leader), receiver, group, term, ...change, last }
    const reply = await cluster.waitFor(leader.callPeer(follower.address, PeerMethod.HandOver, request, 1_000))
    assert.deepEqual(reply, { term, accepted: false })
    await cluster.advance(2_000)
    assert.equal(await cluster.waitForLeader(), leader)
  })
}
