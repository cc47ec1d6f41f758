import assert from 'node:assert/strict'
import { test } from 'node:test'
import { gzipSync } from 'node:zlib'
import { recoverSheets } from '../../src/agreement/sheets/recoverSheets.js'
import { RECOVERY_REVISION_GAP } from '../../src/agreement/sheets/SheetState.js'
import type { AcceptedSheet } from '../../src/agreement/sheets/AcceptedSheet.js'
import { SheetCluster, type ClusterHost } from './support/SheetCluster.js'
import { SpreadCluster } from './support/SpreadCluster.js'

function recover (spread: SpreadCluster, host: ClusterHost): Promise<AcceptedSheet | undefined> {
  return recoverSheets({
    replica: host,
    identity: host.replicatedLog.status().identity,
    callPeer: host.callPeer,
    hostAddresses: spread.hosts.map(({ identity }) => identity.peerAddress),
    pack: async (content) => gzipSync(content).toString('base64')
  })
}

test('after a majority is lost, a sheet that only a host without disk still holds is recovered', async (context) => {
  const cluster = await SheetCluster.start(context, 21)
  const spread = new SpreadCluster(cluster, 16, 6)
  await cluster.waitFor(Promise.all(spread.hosts.map(({ whenStarted }) => whenStarted)))
  await cluster.submitMany(cluster.getHost(0), 1, 3)
  await cluster.advanceUntil(() => spread.isInForce(3), 'sheet 3')
  const leader = await cluster.waitForLeader()
  const [survivor, otherSurvivor, ...followers] = cluster.listFollowers() as [ClusterHost, ClusterHost, ...ClusterHost[]]
  const lost = [...followers, leader]
  cluster.network.split([survivor.address, otherSurvivor.address], spread.hosts.map(({ identity }) => identity.peerAddress).filter((address) => address !== survivor.address && address !== otherSurvivor.address))
  await cluster.submitMany(leader, 4, 4)
  await cluster.advanceUntil(() => spread.getHost(15).spreader.current()?.number === 4, 'sheet 4')
  for (const host of lost) {
    cluster.kill(host)
    spread.getHost(cluster.hosts.indexOf(host)).spreader.stop()
  }
  cluster.network.heal()
  await cluster.advance(100)
  const recovered = await cluster.waitFor(recover(spread, survivor))
  assert.deepEqual([recovered?.number, recovered?.revision], [4, 4])
  assert.equal(survivor.registry.current()?.content, 'sheet 4')
  const again = await cluster.waitFor(recover(spread, survivor))
  assert.equal(again?.revision, 4)
  const next = await cluster.waitFor(cluster.submit(survivor, 5))
  assert.ok((next.accepted?.revision ?? 0) > RECOVERY_REVISION_GAP)
  const remaining = spread.hosts.filter((_, number) => cluster.hosts[number]?.isRunning !== false)
  await cluster.advanceUntil(() => spread.isInForce(5, remaining), 'sheet 5', 3_000)
})
