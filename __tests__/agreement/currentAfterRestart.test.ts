import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SheetCluster } from './support/SheetCluster.js'

const SEED_COUNT = 10
const CHECK_INTERVAL_MILLISECONDS = 10
const CHECK_COUNT = 400

test('after a restart of all replicas, a replica that reports itself as current has all acknowledged sheets', async (context) => {
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    context.mock.timers.reset()
    const cluster = await SheetCluster.start(context, seed, 5)
    const leader = await cluster.waitForLeader()
    const [slow] = cluster.listFollowers()
    slow!.files.syncMilliseconds = 3_000
    await cluster.submitMany(leader, 1, 4)
    for (const host of cluster.hosts) cluster.kill(host)
    for (const host of [...cluster.hosts]) await cluster.restart(host)
    let highestCurrentCount = 0
    for (let check = 0; check < CHECK_COUNT; check += 1) {
      await cluster.advance(CHECK_INTERVAL_MILLISECONDS)
      const currentReplicas = cluster.listRunning().filter(({ replicatedLog }) => replicatedLog.status().isCurrent)
      for (const { registry } of currentReplicas) assert.equal(registry.current()?.number, 4, `seed ${seed}`)
      highestCurrentCount = Math.max(highestCurrentCount, currentReplicas.length)
    }
    assert.equal(highestCurrentCount, 5, `seed ${seed}: not all replicas are current again`)
  }
})
