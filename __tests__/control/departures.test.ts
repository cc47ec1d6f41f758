import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { FollowReply } from '../../src/follow/FollowMessages.js'
import { AnnouncementResult } from '../../src/registry/UpstreamRegistry.js'
import { UpstreamReadiness } from '../../src/registry/UpstreamRecord.js'
import { PeerMethod } from '../../src/types/PeerMethod.js'
import { MemoryFiles } from '../agreement/support/MemoryFiles.js'
import { seededRandom } from '../agreement/support/SheetCluster.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { ControlCluster, FOLLOW_REQUEST, type ClusterControlHost } from './ControlCluster.js'

const HOST_COUNT = 6
/** How long the answers of the control hosts are watched after a restart: longer than a host that starts waits for the others. */
const WATCHED_MILLISECONDS = 6_000
const WATCH_INTERVAL_MILLISECONDS = 50
/** Within the time that a host which starts waits for the others. */
const LATE_MILLISECONDS = 1_000
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
  for (const lost of listPairs(HOST_COUNT)) {
    test(`after a kill of all control hosts and the loss of disks ${lost.join(' and ')}, none calls an upstream ready whose ${name} was acknowledged`, async (context: TestContext) => {
      await expectRemembered(await ControlCluster.start(context, HOST_COUNT), leave, lost)
    })
  }

  // Guards against control hosts with empty disks that count towards the majority whose registries a starting host merges.
  for (const lost of listPairs(HOST_COUNT - 2)) {
    test(`a ${name} that only the disks of a majority held outlives the loss of disks ${lost.join(' and ')} of it, although the others that hold it start late`, async (context: TestContext) => {
      const cluster = await ControlCluster.start(context, HOST_COUNT)
      const late = [0, 1, 2, 3].filter((index) => !lost.includes(index))
      await expectRemembered(cluster, async () => {
        for (const { files } of cluster.hosts.slice(HOST_COUNT - 2)) stallRecoveryFile(files)
        return await leave(cluster)
      }, lost, late)
    })
  }

  // Guards against an acknowledgement that rests on two disks while the group has only its first three voters.
  test(`a ${name} that two disks hold is not acknowledged while the group is forming`, async (context: TestContext) => {
    const cluster = ControlCluster.begin(context, HOST_COUNT)
    for (const { files } of cluster.hosts.slice(2)) stallRecoveryFile(files)
    const startedAt = performance.now()
    while (performance.now() - startedAt < WATCHED_MILLISECONDS) assert.equal(await cluster.waitFor(leave(cluster)), AnnouncementResult.NotHeld, `after ${performance.now() - startedAt} ms`)
  })
}

function listPairs (count: number): number[][] {
  return Array.from({ length: count }, (_, left) => Array.from({ length: count - left - 1 }, (_, offset) => [left, left + 1 + offset])).flat()
}

function stallRecoveryFile (files: MemoryFiles): void {
  files.slowPathPattern = /recovery/
  files.syncMilliseconds = STALLED_MILLISECONDS
}

/** Has a departure acknowledged, kills all control hosts, restarts them, some with empty disks, and watches what they tell entry hosts. */
async function expectRemembered (cluster: ControlCluster, leave: (cluster: ControlCluster) => Promise<AnnouncementResult>, lost: readonly number[], late: readonly number[] = []): Promise<void> {
  assert.equal(await cluster.waitFor(cluster.hosts[0]!.process.upstreams.announce(ANNOUNCED)), AnnouncementResult.Accepted)
  await cluster.advance(1_000)
  assert.equal(await cluster.waitFor(leave(cluster)), AnnouncementResult.Accepted)
  const killed = [...cluster.hosts]
  for (const host of killed) cluster.kill(host)
  const restart = async (hosts: ClusterControlHost[]): Promise<unknown> => await cluster.restart(hosts, (files) => {
    const found = lost.some((index) => killed[index]!.files === files) ? new MemoryFiles(seededRandom(1)) : files.restartProcess()
    found.syncMilliseconds = 0
    return found
  })
  const isLate = (host: ClusterControlHost): boolean => late.includes(killed.indexOf(host))
  const startedAt = performance.now()
  const restarting = [restart(killed.filter((host) => !isLate(host)))]
  const answered = new Set<string>()
  while (performance.now() - startedAt < WATCHED_MILLISECONDS) {
    await cluster.advance(WATCH_INTERVAL_MILLISECONDS)
    if (restarting.length === 1 && performance.now() - startedAt >= LATE_MILLISECONDS) restarting.push(restart(killed.filter(isLate)))
    for (const [host, readiness] of await askAll(cluster)) {
      answered.add(host)
      assert.notEqual(readiness, UpstreamReadiness.Ready, `${host} calls the upstream ready ${performance.now() - startedAt} ms after the restart`)
    }
  }
  assert.equal(answered.size, HOST_COUNT)
  await Promise.all(restarting)
}

/** @returns the readiness of the upstream at each control host that answers entry hosts, undefined where it is unknown */
async function askAll (cluster: ControlCluster): Promise<Array<[host: string, readiness: UpstreamReadiness | undefined]>> {
  const entryHost = cluster.network.addHost('127.0.0.99:7660')
  const replies = await cluster.waitFor(Promise.all(cluster.hosts.map(async ({ address }: ClusterControlHost) => await entryHost.callPeer<FollowReply>(address, PeerMethod.Follow, FOLLOW_REQUEST, 1_000).then((reply) => ({ address, reply }), () => undefined))))
  return replies.filter((answer) => answer !== undefined).map(({ address, reply }) => [address, reply.upstreams.find(({ record }) => record.id === 'i-1')?.record.readiness])
}
