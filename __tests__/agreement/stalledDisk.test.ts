import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

/** Longer than the users' bound on a change, so that no replica may wait for its own disk. */
const STALL_MILLISECONDS = 20_000
/** The leader waits longer for each call to a follower with a slow disk; by then, several seconds. */
const LATER_MILLISECONDS = 4_000
/** The shortest bound of the users' deployments on putting a change in force everywhere. */
const APPLY_MILLISECONDS = 2_000

test('a replica whose disk has stalled applies what a majority holds', async (context) => {
  const cluster = await SheetCluster.start(context, 5, 3)
  const leader = await cluster.leader()
  const [stalled] = cluster.followers() as [ClusterHost]
  stalled.files.syncMilliseconds = STALL_MILLISECONDS
  await cluster.finish(cluster.submit(leader, 1))
  await cluster.advance(LATER_MILLISECONDS)
  await cluster.finish(cluster.submit(leader, 2))
  await cluster.advance(APPLY_MILLISECONDS)
  assert.equal(stalled.replicatedLog.status().hearsLeader, true)
  assert.equal(stalled.registry.current()?.number, 2, 'it hears its leader and does not know of the second change')
})
