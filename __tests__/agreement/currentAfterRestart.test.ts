import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SheetCluster } from './support/SheetCluster.js'

const SEEDS = 10
const CHECK_MILLISECONDS = 10
const CHECKS = 400

test('after a restart of all, a replica that calls itself current knows what was acknowledged', async (context) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    context.mock.timers.reset()
    const cluster = await SheetCluster.start(context, seed, 5)
    const leader = await cluster.leader()
    const [slow] = cluster.followers()
    slow!.files.syncMilliseconds = 3_000
    await cluster.submitMany(leader, 1, 4)
    for (const host of cluster.hosts) cluster.kill(host)
    for (const host of [...cluster.hosts]) await cluster.restart(host)
    let current = 0
    for (let check = 0; check < CHECKS; check += 1) {
      await cluster.advance(CHECK_MILLISECONDS)
      const claiming = cluster.running().filter(({ replicatedLog }) => replicatedLog.status().isCurrent)
      for (const { registry } of claiming) assert.equal(registry.current()?.number, 4, `seed ${seed}`)
      current = Math.max(current, claiming.length)
    }
    assert.equal(current, 5, `seed ${seed}: not all current again`)
  }
})
