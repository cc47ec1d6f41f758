import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ReplicaCounter } from '../../src/agreement/ReplicaCounter.js'
import { SubmitResult } from '../../src/agreement/sheets/SubmitResult.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const SEEDS = [1, 2, 3]

/** Checks that every accepted revision has the same sheet on all replicas. */
function assertSameHistory (cluster: SheetCluster): void {
  const digests = new Map<number, string>()
  for (const { registry } of cluster.hosts) {
    for (const { revision, digest } of registry.history()) {
      assert.equal(digests.get(revision) ?? digest, digest, `revision ${revision} differs`)
      digests.set(revision, digest)
    }
  }
}

function listOtherAddresses (cluster: SheetCluster, host: ClusterHost): string[] {
  return cluster.listAddresses().filter((address) => address !== host.address)
}

const cases: Array<{ name: string, run: (cluster: SheetCluster) => Promise<void> }> = [
  {
    name: 'a leader killed during a submission loses no accepted sheet, and submitting again gives the decision',
    run: async (cluster) => {
      const leader = await cluster.waitForLeader()
      const interruptedSubmission = cluster.submit(leader, 1).catch(() => undefined)
      await cluster.advance(10)
      cluster.kill(leader)
      const answer = await cluster.waitFor(cluster.submit(cluster.listRunning()[0] as ClusterHost, 1))
      assert.ok([SubmitResult.Accepted, SubmitResult.AcceptedBefore].includes(answer.result))
      assert.equal(answer.accepted?.revision, 1)
      await cluster.waitFor(interruptedSubmission)
      await cluster.waitForSheet(1)
    }
  },
  {
    name: 'an isolated leader answers that there is no quorum, and submitting again gives the decision',
    run: async (cluster) => {
      const isolated = await cluster.waitForLeader()
      cluster.network.split([isolated.address], listOtherAddresses(cluster, isolated))
      const answer = await cluster.waitFor(cluster.submit(isolated, 1, 'isolated'))
      assert.equal(answer.result, SubmitResult.NoQuorum)
      assert.equal(answer.outcomeUnknown, true)
      const current = await cluster.waitForLeader()
      assert.notEqual(current, isolated)
      assert.equal((await cluster.waitFor(cluster.submit(current, 1, 'majority'))).result, SubmitResult.Accepted)
      cluster.network.heal()
      assert.equal((await cluster.waitFor(cluster.submit(isolated, 1, 'isolated'))).result, SubmitResult.Conflict)
      await cluster.waitForSheet(1)
      assert.equal(isolated.registry.current()?.content, 'majority')
    }
  },
  {
    name: 'an isolated replica does not raise the term, so that the leader remains when it is connected again',
    run: async (cluster) => {
      const leader = await cluster.waitForLeader()
      const isolated = cluster.listFollowers()[0] as ClusterHost
      const { term } = leader.replicatedLog.status()
      cluster.network.split([isolated.address], listOtherAddresses(cluster, isolated))
      await cluster.advance(60_000)
      await cluster.submitMany(leader, 1, 3)
      cluster.network.heal()
      await cluster.waitForSheet(3)
      assert.equal(leader.replicatedLog.status().term, term)
      assert.ok(isolated.counters.read(ReplicaCounter.PreVoteLost) > 10)
    }
  },
  {
    name: 'a leader that sends but receives nothing steps down, and another is elected',
    run: async (cluster) => {
      const sendOnlyLeader = await cluster.waitForLeader()
      for (const address of listOtherAddresses(cluster, sendOnlyLeader)) cluster.network.cut(address, sendOnlyLeader.address)
      await cluster.advanceUntil(() => cluster.listLeaders().some((host) => host !== sendOnlyLeader), 'no other leader')
      assert.equal(sendOnlyLeader.replicatedLog.status().hasQuorum, false)
      await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
    }
  },
  {
    name: 'a leader that receives but whose calls are lost is replaced, and follows once it is connected again',
    run: async (cluster) => {
      const receiveOnlyLeader = await cluster.waitForLeader()
      for (const address of listOtherAddresses(cluster, receiveOnlyLeader)) cluster.network.cut(receiveOnlyLeader.address, address)
      await cluster.advanceUntil(() => cluster.listLeaders().some((host) => host !== receiveOnlyLeader), 'no other leader')
      await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
      cluster.network.heal()
      await cluster.waitForSheet(2)
    }
  },
  {
    name: 'a submission forwarded to a leader that becomes silent is decided by the next leader',
    run: async (cluster) => {
      const silent = await cluster.waitForLeader()
      const follower = cluster.listFollowers()[0] as ClusterHost
      await cluster.submitMany(silent, 1, 1)
      await cluster.waitForSheet(1)
      cluster.network.split([silent.address], listOtherAddresses(cluster, silent))
      const startedAt = performance.now()
      const answer = await cluster.waitFor(cluster.submit(follower, 2))
      assert.equal(answer.result, SubmitResult.Accepted)
      assert.ok(performance.now() - startedAt < 4_000, `took ${performance.now() - startedAt} ms`)
      assert.ok(follower.counters.read(ReplicaCounter.ForwardAbandoned) > 0)
    }
  },
  {
    name: 'a leader disconnected from two of four followers remains the leader, and these two never replace it',
    run: async (cluster) => {
      const leader = await cluster.waitForLeader()
      const [first, second] = listOtherAddresses(cluster, leader) as [string, string]
      cluster.network.split([leader.address], [first, second])
      const { term } = leader.replicatedLog.status()
      await cluster.submitMany(leader, 1, 5)
      await cluster.advance(10_000)
      assert.equal(leader.replicatedLog.status().hasQuorum, true)
      assert.equal(leader.replicatedLog.status().term, term)
    }
  },
  {
    name: 'a leader that resumes after a pause changes no accepted sheet',
    run: async (cluster) => {
      const pausedLeader = await cluster.waitForLeader()
      cluster.network.pauseHost(pausedLeader.address)
      const lateSubmission = cluster.submit(pausedLeader, 1, 'frozen').catch(() => undefined)
      await cluster.advanceUntil(() => cluster.listLeaders().some((host) => host !== pausedLeader), 'no other leader')
      await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
      cluster.network.resumeHost(pausedLeader.address)
      await cluster.waitFor(lateSubmission)
      await cluster.waitForSheet(2)
      assert.equal(pausedLeader.registry.content(1), 'sheet 1')
    }
  },
  {
    name: 'three regions disconnected from each other accept nothing, and accept sheets once connected again',
    run: async (cluster) => {
      const [a, b, c, d, e] = cluster.listAddresses() as [string, string, string, string, string]
      cluster.network.split([a, b], [c, d])
      cluster.network.split([a, b, c, d], [e])
      await cluster.advanceUntil(() => cluster.listLeaders().length === 0, 'still a leader')
      const answers = await cluster.waitFor(Promise.all(cluster.hosts.map((host) => cluster.submit(host, 1, host.address))))
      assert.ok(answers.every(({ result }) => result === SubmitResult.NoQuorum))
      cluster.network.heal()
      await cluster.submitMany(await cluster.waitForLeader(), 2, 3)
      await cluster.waitForSheet(3)
    }
  },
  {
    name: 'a replica disconnected from the leader only catches up once connected again, without a new term',
    run: async (cluster) => {
      const leader = await cluster.waitForLeader()
      const disconnected = cluster.listFollowers()[0] as ClusterHost
      cluster.network.split([leader.address], [disconnected.address])
      const { term } = leader.replicatedLog.status()
      await cluster.submitMany(leader, 1, 20)
      await cluster.advance(10_000)
      cluster.network.heal()
      await cluster.waitForSheet(20)
      assert.equal(leader.replicatedLog.status().term, term)
    }
  },
  {
    name: 'a replica isolated for a minute has the newest sheet within a second of being connected again',
    run: async (cluster) => {
      const leader = await cluster.waitForLeader()
      const isolated = cluster.listFollowers()[0] as ClusterHost
      cluster.network.split([isolated.address], listOtherAddresses(cluster, isolated))
      await cluster.submitMany(leader, 1, 5)
      await cluster.advance(60_000)
      cluster.network.heal()
      await cluster.advanceUntil(() => isolated.registry.current()?.number === 5, 'not caught up', 1_000)
    }
  },
  {
    name: 'two replicas lost at once leave a quorum, a third one does not',
    run: async (cluster) => {
      cluster.kill(await cluster.waitForLeader())
      cluster.kill(cluster.listFollowers()[0] as ClusterHost)
      await cluster.submitMany(await cluster.waitForLeader(), 1, 2)
      cluster.kill(cluster.listFollowers()[0] as ClusterHost)
      const answer = await cluster.waitFor(cluster.submit(cluster.listRunning()[0] as ClusterHost, 3))
      assert.equal(answer.result, SubmitResult.NoQuorum)
    }
  },
  {
    name: 'replicas 55 ms apart elect a leader and keep it',
    run: async (cluster) => {
      cluster.network.delayMilliseconds = 55
      const leader = await cluster.waitForLeader()
      const { term } = leader.replicatedLog.status()
      await cluster.advance(30_000)
      assert.equal((await cluster.waitForLeader()).replicatedLog.status().term, term)
    }
  }
]

for (const { name, run } of cases) {
  for (const seed of SEEDS) {
    test(`${name} (seed ${seed})`, async (context) => {
      const cluster = await SheetCluster.start(context, seed)
      await run(cluster)
      assertSameHistory(cluster)
    })
  }
}
