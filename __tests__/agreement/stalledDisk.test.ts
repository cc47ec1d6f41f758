import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AppendRequest } from '../../src/agreement/messages/AppendRequest.js'
import { EntryKind } from '../../src/agreement/EntryKind.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'

/** Longer than the users' limit for a change, so that a replica that waits for its own disk exceeds the limit. */
const STALL_MILLISECONDS = 20_000
/** Time after which the leader's timeout for calls to the follower with the slow disk has grown to several seconds. */
const GROWN_TIMEOUT_MILLISECONDS = 4_000
/** The shortest limit in the users' deployments for putting a change in force everywhere. */
const APPLY_LIMIT_MILLISECONDS = 2_000

test('a replica whose disk has stalled applies entries that a majority holds', async (context) => {
  const cluster = await SheetCluster.start(context, 5, 3)
  const leader = await cluster.waitForLeader()
  const [stalled] = cluster.listFollowers() as [ClusterHost]
  stalled.files.syncMilliseconds = STALL_MILLISECONDS
  await cluster.waitFor(cluster.submit(leader, 1))
  await cluster.advance(GROWN_TIMEOUT_MILLISECONDS)
  await cluster.waitFor(cluster.submit(leader, 2))
  await cluster.advance(APPLY_LIMIT_MILLISECONDS)
  assert.equal(stalled.replicatedLog.status().hearsLeader, true)
  assert.equal(stalled.registry.current()?.number, 2, 'it is in contact with its leader but has not applied the second change')
})

test('a replica that lacks committed entries is not current, though it is in contact with its leader', async (context) => {
  const cluster = await SheetCluster.start(context, 6, 3)
  const [behind, sender] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  for (const host of cluster.hosts) if (host !== behind) cluster.kill(host)
  const { callPeer } = cluster.network.addHost(sender.address)
  const { identity: receiver, group = '', term, last } = behind.replicatedLog.status()
  const entry = { index: last.index + 1, term: term + 1, kind: EntryKind.NoOp }
  const heartbeat: AppendRequest = { sender: sender.replicatedLog.status().identity, receiver, group, term: term + 1, heartbeat: true, previous: last, entries: [], commitIndex: entry.index }
  await cluster.waitFor(callPeer(behind.address, PeerMethod.AppendEntries, heartbeat, 1_000))
  assert.deepEqual(readCurrency(behind), { hearsLeader: true, isCurrent: false })
  await cluster.waitFor(callPeer(behind.address, PeerMethod.AppendEntries, { ...heartbeat, heartbeat: false, entries: [entry] }, 1_000))
  assert.deepEqual(readCurrency(behind), { hearsLeader: true, isCurrent: true })
})

test('entries of a previous leader that no other replica holds are not applied by a heartbeat of the next leader', async (context) => {
  const cluster = await SheetCluster.start(context, 7, 3)
  const [host, sender] = cluster.listFollowers() as [ClusterHost, ClusterHost]
  for (const other of cluster.hosts) if (other !== host) cluster.kill(other)
  const { callPeer } = cluster.network.addHost(sender.address)
  const { identity: receiver, group = '', term, last } = host.replicatedLog.status()
  const request: AppendRequest = { sender: sender.replicatedLog.status().identity, receiver, group, term: term + 1, heartbeat: false, previous: last, entries: [{ index: last.index + 1, term: term + 1, kind: EntryKind.NoOp }], commitIndex: 0 }
  await cluster.waitFor(callPeer(host.address, PeerMethod.AppendEntries, request, 1_000))
  await cluster.waitFor(callPeer(host.address, PeerMethod.AppendEntries, { ...request, term: term + 2, heartbeat: true, entries: [], commitIndex: last.index + 1 }, 1_000))
  assert.equal(host.replicatedLog.status().appliedIndex, last.index)
})

function readCurrency ({ replicatedLog }: ClusterHost): { hearsLeader: boolean, isCurrent: boolean } {
  const { hearsLeader, isCurrent } = replicatedLog.status()
  return { hearsLeader, isCurrent }
}
