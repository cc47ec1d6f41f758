import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import type { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { ControlCluster, FOLLOW_REQUEST } from './ControlCluster.js'

const HOST_COUNT = 6
/** Longer than the group needs to form. */
const WATCHED_MILLISECONDS = 6_000
/** Longer than each test. */
const STALLED_MILLISECONDS = 600_000
const ANNOUNCED = createUpstreamRecord({ id: 'i-1', sequence: 1 })

const departures = [
  { name: 'departure', leave: async (cluster: ControlCluster) => await cluster.hosts[0]!.process.upstreams.remove('i-1', ANNOUNCED.bornAt) },
  { name: 'drain', leave: async (cluster: ControlCluster) => await cluster.hosts[0]!.process.upstreams.announce({ ...ANNOUNCED, sequence: 2, readiness: UpstreamReadiness.Draining }) }
]

for (const { name, leave } of departures) {
  // Guards against entry hosts that use an upstream again whose departure was acknowledged right before all control hosts were killed.
  test(`a ${name} that was acknowledged outlives a kill of all control hosts at that moment`, async (context: TestContext) => {
    const cluster = await ControlCluster.start(context, HOST_COUNT)
    assert.equal(await cluster.waitFor(cluster.hosts[0]!.process.upstreams.announce(ANNOUNCED)), AnnouncementResult.Accepted)
    await cluster.advance(1_000)
    assert.equal(await cluster.waitFor(leave(cluster)), AnnouncementResult.Accepted)
    const killed = [...cluster.hosts]
    for (const host of killed) cluster.kill(host)
    const restarted = await cluster.restart(killed, (files) => files.restartProcess())
    const entryHost = cluster.network.addHost('127.0.0.99:7660')
    for (const { address } of restarted) {
      const reply = await cluster.waitFor(entryHost.callPeer<FollowReply>(address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000))
      const readiness = reply.upstreams.find(({ record }) => record.id === 'i-1')?.record.readiness
      assert.notEqual(readiness, UpstreamReadiness.Ready, `${address} tells entry hosts that the upstream is ready`)
    }
  })
}

for (const { name, leave } of departures) {
  // Guards against an acknowledgement that rests on two disks while the group has only its first three voters.
  test(`a ${name} that two disks hold is not acknowledged while the group is forming`, async (context: TestContext) => {
    const cluster = ControlCluster.begin(context, HOST_COUNT)
    for (const { files } of cluster.hosts.slice(2)) stallRecoveryFile(files)
    const startedAt = performance.now()
    while (performance.now() - startedAt < WATCHED_MILLISECONDS) assert.equal(await cluster.waitFor(leave(cluster)), AnnouncementResult.NotHeld, `after ${performance.now() - startedAt} ms`)
  })
}

function stallRecoveryFile (files: MemoryFiles): void {
  files.slowPathPattern = /recovery/
  files.syncMilliseconds = STALLED_MILLISECONDS
}
