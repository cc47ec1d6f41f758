import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { ReplicaRefusalReason } from '../../src/agreement/ReplicaRefusalReason.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

const NEEDED_VOTERS = 5

const changes: Array<{ name: string, change: (cluster: SheetCluster, leader: ClusterHost) => Promise<unknown> }> = [
  { name: 'a voter was removed', change: async (cluster, leader) => await leader.replicatedLog.remove(cluster.listFollowers()[0]!.replicatedLog.status().identity) },
  {
    name: 'a lost voter was replaced',
    change: async (cluster, leader) => {
      const lost = cluster.listFollowers()[0]!
      const { identity, address } = lost.replicatedLog.status()
      cluster.kill(lost)
      await cluster.restartWithEmptyDisk(lost)
      return await leader.replicatedLog.replace(identity, address)
    }
  }
]

for (const { name, change } of changes) {
  // Guards against a change of the members that lets a forming group accept values.
  test(`a group that is forming accepts no value after ${name}, until it is completed`, async (context: TestContext) => {
    const cluster = new SheetCluster(context, 1)
    for (let number = 0; number < 3; number += 1) await cluster.addHost()
    await cluster.waitFor(cluster.hosts[0]!.replicatedLog.bootstrap(cluster.listAddresses(), NEEDED_VOTERS))
    const leader = await cluster.waitForLeader()
    assert.deepEqual((await cluster.waitFor(change(cluster, leader)) as { done: boolean }).done, true)
    const refused = await cluster.waitFor(leader.replicatedLog.propose({} as never))
    assert.equal(refused.reason, ReplicaRefusalReason.GroupForming)
    await cluster.waitFor(leader.replicatedLog.completeFormation())
    assert.equal(leader.replicatedLog.status().configuration.isForming, undefined)
  })
}
